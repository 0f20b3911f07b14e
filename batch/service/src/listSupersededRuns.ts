/** Lists the runs that late ends make superfluous. Once the ends are committed, these runs are no longer placed. */
import {
  listPlacedInUnit,
  type BatchState,
  type Placement,
  type RunEnd,
} from '@nettlespur/batch.state'

/** Call it before the ends are committed. */
export function listSupersededRuns({ jobs }: BatchState, ends: readonly RunEnd[]): Placement[] {
  return ends.flatMap((end) => {
    const job = end.isLate === true ? jobs.get(end.jobId) : undefined
    return job === undefined ? [] : listPlacedInUnit(job, end)
  })
}
