/** Favours whole blocks: of each workspace's jobs the largest comes first, then the longest-waiting. */
import { ObjectivePolicy } from './objectivePolicy.js'
import type { WaitingJob } from './placementView.js'

export class FragmentationPolicy extends ObjectivePolicy {
  protected override readonly lostWorkRatioMax = 0.05

  protected override rank(job: WaitingJob): number {
    return -job.gang.accelerators
  }
}
