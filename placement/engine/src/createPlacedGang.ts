/** Creates the running gang that a waiting job becomes when it is placed; it has not started yet. */
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
