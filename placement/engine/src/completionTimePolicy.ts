/**
 * Favours short completion times: of each workspace's jobs the one whose wait is longest for its expected
 * run time comes first, so that short jobs pass long ones and none is passed for ever.
 */
import { ObjectivePolicy } from './objectivePolicy.js'
import type { WaitingJob } from './placementView.js'

export class CompletionTimePolicy extends ObjectivePolicy {
  protected override readonly preemptionPatience = 0.05

  protected override rank(job: WaitingJob, nowMs: number): number {
    const waitedMs = nowMs - job.submittedAtMs
    return -(waitedMs + job.expectedRunTimeMs) / Math.max(1, job.expectedRunTimeMs)
  }
}
