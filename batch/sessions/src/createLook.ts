/** What a look at an upstream asks for: whether it renews the lease there, and how long it may wait for an end. */
import type { CallAnswers } from './callAnswers.js'
import type { LeaseTracker } from './leaseTracker.js'
import type { RunTracks } from './runTracks.js'
import { trialLookMs } from './sessionOptions.js'
import type { HoldOrder } from './upstreamPort.js'

export interface CreateLookOptions {
  lease: LeaseTracker
  answers: CallAnswers
  tracks: RunTracks
  /** Something is placed there. */
  isInUse: boolean
  holdWaitMs: number
  nowMs: number
}

export function createLook(opts: CreateLookOptions): Pick<HoldOrder, 'leaseEndMs' | 'waitMs'> {
  const { lease, answers, tracks, isInUse, holdWaitMs, nowMs } = opts
  // Calls into silence must not prolong the lease, or an upstream lost for good would never be given up. Nor must
  // looks that go on to hide a run: once the lease is over it has surely ended, which no list may tell of it.
  const renews = lease.clock.isKnown && answers.unanswered === 0 && !tracks.hasHidden(nowMs)
  const mayWait = renews && !tracks.hasInherited && isInUse
  const longestMs = tracks.hasTrial ? Math.min(trialLookMs, holdWaitMs) : holdWaitMs
  return {
    leaseEndMs: renews ? lease.extend(nowMs) : undefined,
    waitMs: mayWait ? longestMs : 0,
  }
}
