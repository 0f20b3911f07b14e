/** A waiting job as it is once placed, before its start. */
import type { Block, RunningGang } from '@nettlespur/placement.topology'
import type { WaitingJob } from './placementView.js'

export function createPlacedGang(job: WaitingJob, blocks: readonly Block[]): RunningGang {
  return {
    ...job,
    blocks,
    isStopping: false,
    startedAtMs: undefined,
    checkpointedAtMs: undefined,
    attempts: 1,
  }
}
