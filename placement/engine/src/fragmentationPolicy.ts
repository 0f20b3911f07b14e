/** Favours low fragmentation: the largest job of a workspace comes first, then the longest-waiting. */
import { ObjectivePolicy } from './objectivePolicy.js'
import type { WaitingJob } from './placementView.js'

export class FragmentationPolicy extends ObjectivePolicy {
  protected override readonly lostWorkRatioMax = 0.05

  protected override rank(job: WaitingJob): number {
    return -job.gang.accelerators
  }
}
