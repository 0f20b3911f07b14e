/**
 * Favours short completion times: orders the jobs of a workspace by wait relative to expected work. Small and
 * short jobs overtake others, and no job starves, since its rank improves as it waits.
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
