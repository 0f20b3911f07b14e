/** Best fit without reservation: every job that fits starts, where it breaks up the least. */
import type { WaitingJob } from '@nettlespur/placement.engine'
import { fitGang, FreeChooser, type Block, type ClusterMap } from '@nettlespur/placement.topology'
import { BaselinePolicy } from './baselinePolicy.js'

export class BestFitPolicy extends BaselinePolicy {
  protected override find(map: ClusterMap, job: WaitingJob): Block[] | undefined {
    return fitGang(map, job, new FreeChooser())
  }

  protected override passes(): boolean {
    return true
  }
}
