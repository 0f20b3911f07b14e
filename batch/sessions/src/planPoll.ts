/** Decides whether the next poll of an upstream renews the lease, and how long the upstream may delay its answer. */
import type { CallAnswers } from './callAnswers.js'
import type { LeaseTracker } from './leaseTracker.js'
import type { RunTracks } from './runTracks.js'
import { trialPollWaitMs } from './sessionOptions.js'
import type { HoldOrder } from './upstreamPort.js'

export interface PlanPollOptions {
  lease: LeaseTracker
  answers: CallAnswers
  tracks: RunTracks
  /** Whether the upstream is polled all the time. */
  isWatched: boolean
  holdWaitMs: number
  nowMs: number
}

export function planPoll(opts: PlanPollOptions): Pick<HoldOrder, 'leaseEndMs' | 'waitMs'> {
  const { lease, answers, tracks, isWatched, holdWaitMs, nowMs } = opts
  // Unanswered polls must not renew the lease, or the runs of an unreachable upstream would never be given up. Nor may
  // polls whose answers keep omitting a run: only the expiry of the lease then shows that the run has ended.
  const shouldRenew =
    lease.clock.hasReading && answers.unanswered === 0 && !tracks.hasLongUnlisted(nowMs)
  const canWait = shouldRenew && !tracks.hasInherited && isWatched
  const maxWaitMs = tracks.hasTrial ? Math.min(trialPollWaitMs, holdWaitMs) : holdWaitMs
  return {
    leaseEndMs: shouldRenew ? lease.extend(nowMs) : undefined,
    waitMs: canWait ? maxWaitMs : 0,
  }
}
