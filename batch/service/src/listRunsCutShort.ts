/**
 * Lists the runs to stop because their upstream leaves before they can end. Without checkpoints the work is lost in any
 * case, so such a run restarts elsewhere at once; with checkpoints it continues until shortly before the upstream leaves.
 */
import type { Placement } from '@nettlespur/batch.state'
import { listRuns, type ListRunsOptions } from './buildSchedulerView.js'
import type { LeavingUpstream } from './announcementTable.js'

/** Twice the time to stop a run (1 to 2 ms for the order, 400 ms for the stop), and the 500 ms between rounds. */
const checkpointStopMarginMs = 1500

export function listRunsCutShort(
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
