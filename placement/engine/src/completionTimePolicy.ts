/**
 * Favours short completion times: of each workspace's jobs the one whose wait is longest for its expected
 * work comes first, so that small and short jobs pass others and none is passed for ever.
 */
import { ObjectivePolicy } from './objectivePolicy.js'
import type { WaitingJob } from './placementView.js'

export class CompletionTimePolicy extends ObjectivePolicy {
  protected override readonly lostWorkRatioMax = 0.05

  protected override rank(job: WaitingJob, nowMs: number): number {
    const waitedMs = nowMs - job.submittedAtMs
    const workMs = Math.max(1, job.expectedRunTimeMs) * job.gang.accelerators
    return -(waitedMs + job.expectedRunTimeMs) / workMs
  }
}
