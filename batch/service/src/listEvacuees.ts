/**
 * Which runs are stopped because their upstream leaves before they can end. Without checkpoints the work is
 * lost either way, so they begin again elsewhere at once; with them they work on until shortly before.
 */
import type { Placement } from '@nettlespur/batch.state'
import { listRuns, type ListRunsOptions } from './buildSchedulerView.js'
import type { LeavingUpstream } from './announcementTable.js'

/** For an order of 1 to 2 ms and a stop of 400 ms, twice, and a round of decisions each 500 ms. */
const checkpointStopMarginMs = 1500

export function listEvacuees(
  leaving: readonly LeavingUpstream[],
  opts: ListRunsOptions,
): Placement[] {
  return leaving.flatMap(({ upstreamId, leavesAtMs }) =>
    listRuns(opts, upstreamId)
      .filter(({ isStopping, expectedEndMs }) => !isStopping && expectedEndMs > leavesAtMs)
      .filter(({ placement }) => {
        return !hasCheckpoints(opts, placement) || opts.nowMs >= leavesAtMs - checkpointStopMarginMs
      })
      .map(({ placement }) => placement),
  )
}

function hasCheckpoints({ state }: ListRunsOptions, { jobId, step }: Placement): boolean {
  return state.jobs.get(jobId)?.request.steps[step]?.checkpoints === true
}
