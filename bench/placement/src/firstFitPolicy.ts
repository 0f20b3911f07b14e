/** FIFO first-fit: the first free block for the first job; jobs behind one that does not fit wait. */
import type { WaitingJob } from '@nettlespur/placement.engine'
import {
  FirstFitChooser,
  fitGang,
  type Block,
  type ClusterMap,
} from '@nettlespur/placement.topology'
import { BaselinePolicy } from './baselinePolicy.js'

export class FirstFitPolicy extends BaselinePolicy {
  protected override find(map: ClusterMap, job: WaitingJob): Block[] | undefined {
    return fitGang(map, job, new FirstFitChooser())
  }

  protected override passes(): boolean {
    return false
  }
}
