/** Index of the open silences of active jobs by upstream, so that what became of an upstream is applied without a scan. */
import { runKey } from '@nettlespur/batch.model'
import type { Placement } from './command.js'
import type { JobRecord } from './records.js'
import { listSilences } from './upstreamLosses.js'

const noRuns: ReadonlyMap<string, Placement> = new Map()

export class SilenceIndex {
  readonly #byUpstream = new Map<string, Map<string, Placement>>()

  /** Upstreams that were silent under a run, and of which it is not known what became of them. */
  get upstreamIds(): IterableIterator<string> {
    return this.#byUpstream.keys()
  }

  /** The runs that ended with a silence of the upstream, by run key. */
  getByUpstream(upstreamId: string): ReadonlyMap<string, Placement> {
    return this.#byUpstream.get(upstreamId) ?? noRuns
  }

  add({ jobId, step, index, attempt, upstreamId }: Placement): void {
    const run = { jobId, step, index, attempt, upstreamId }
    const runs = this.#byUpstream.get(upstreamId) ?? new Map<string, Placement>()
    this.#byUpstream.set(upstreamId, runs.set(runKey(run), run))
  }

  remove(run: Placement): void {
    const runs = this.#byUpstream.get(run.upstreamId)
    runs?.delete(runKey(run))
    if (runs?.size === 0) this.#byUpstream.delete(run.upstreamId)
  }

  addJob(job: JobRecord): void {
    for (const run of listSilentRuns(job)) this.add(run)
  }

  removeJob(job: JobRecord): void {
    if (this.#byUpstream.size === 0) return
    for (const run of listSilentRuns(job)) this.remove(run)
  }
}

/** Lists the runs of a job that ended with a silence that is not settled. */
function listSilentRuns({ request: { jobId }, steps }: JobRecord): Placement[] {
  return steps.flatMap(({ tasks }, step) =>
    tasks.flatMap((task, index) =>
      listSilences(task).map(({ attempt, upstreamId }) => ({
        jobId,
        step,
        index,
        attempt,
        upstreamId,
      })),
    ),
  )
}
