/** What a look at an upstream asks for: whether it renews the lease there, and how long it may wait for an end. */
import type { CallAnswers } from './callAnswers.js'
import type { LeaseTracker } from './leaseTracker.js'
import type { RunTracks } from './runTracks.js'
import { trialPollWaitMs } from './sessionOptions.js'
import type { HoldOrder } from './upstreamPort.js'

export interface PlanPollOptions {
  lease: LeaseTracker
  answers: CallAnswers
  tracks: RunTracks
  /** Something is placed there. */
  isInUse: boolean
  holdWaitMs: number
  nowMs: number
}

export function planPoll(opts: PlanPollOptions): Pick<HoldOrder, 'leaseEndMs' | 'waitMs'> {
  const { lease, answers, tracks, isInUse, holdWaitMs, nowMs } = opts
  // Calls into silence must not prolong the lease, or an upstream lost for good would never be given up. Nor must
  // looks that go on to hide a run: once the lease is over it has surely ended, which no list may tell of it.
  const shouldRenew =
    lease.clock.hasReading && answers.unanswered === 0 && !tracks.hasLongUnlisted(nowMs)
  const canWait = shouldRenew && !tracks.hasInherited && isInUse
  const maxWaitMs = tracks.hasTrial ? Math.min(trialPollWaitMs, holdWaitMs) : holdWaitMs
  return {
    leaseEndMs: shouldRenew ? lease.extend(nowMs) : undefined,
    waitMs: canWait ? maxWaitMs : 0,
  }
}
