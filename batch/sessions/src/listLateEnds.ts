/**
 * Lists the reported ends of runs that were counted as lost although they finished: their upstream was silent until the
 * lease had expired, and answers again. Without them a task would run again whose work is done.
 */
import { runFields, runKey, type RunRef } from '@nettlespur/batch.model'
import { isLateDone, type JobRecord, type Placement, type RunEnd } from '@nettlespur/batch.state'
import type { FinishedRun } from './upstreamPort.js'

export interface ListLateEndsOptions {
  upstreamId: string
  finished: readonly FinishedRun[]
  /** The runs placed on the upstream, by run key; their ends are not late. */
  placements: ReadonlyMap<string, Placement>
  findJob: (jobId: string) => JobRecord | undefined
}

export function listLateEnds(opts: ListLateEndsOptions): RunEnd[] {
  const { upstreamId, finished, placements, findJob } = opts
  const isLate = (run: RunRef): boolean => {
    const job = placements.has(runKey(run)) ? undefined : findJob(run.jobId)
    return job !== undefined && isLateDone(job, run)
  }
  return finished
    .filter(({ run, outcome }) => outcome === 'done' && isLate(run))
    .map(({ run }) => ({ ...runFields(run), upstreamId, outcome: 'done', isLate: true }))
}
