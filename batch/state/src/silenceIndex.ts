/** Index of the silences of active jobs by upstream, so that what became of an upstream is applied without a scan. */
import type { RunRef, TaskRef } from '@nettlespur/batch.model'
import type { Placement } from './command.js'
import type { JobRecord, TaskRecord } from './records.js'
import { RunTable } from './runTable.js'
import { listSilences } from './upstreamLosses.js'

export class SilenceIndex {
  readonly #byUpstream = new RunTable()
  readonly #byJob = new RunTable()

  /** Upstreams that were silent under a run, and of which it is not known whether they crashed. */
  get upstreamIds(): IterableIterator<string> {
    return this.#byUpstream.keys
  }

  /** The runs that ended with a silence of the upstream, by run key. */
  getByUpstream(upstreamId: string): ReadonlyMap<string, Placement> {
    return this.#byUpstream.get(upstreamId)
  }

  add({ jobId, step, index, attempt, upstreamId }: Placement): void {
    const run = { jobId, step, index, attempt, upstreamId }
    this.#byUpstream.add(upstreamId, run)
    this.#byJob.add(jobId, run)
  }

  remove(run: Placement): void {
    this.#byUpstream.remove(run.upstreamId, run)
    this.#byJob.remove(run.jobId, run)
  }

  addJob(job: JobRecord): void {
    for (const run of listSilentRuns(job)) this.add(run)
  }

  removeJob(jobId: string): void {
    for (const run of [...this.#byJob.get(jobId).values()]) this.remove(run)
  }

  /** Removes the silences of the tasks that are done with the run: its task, or all of its gang. */
  removeDone(job: JobRecord, { jobId, step, index }: RunRef): void {
    if (this.#byJob.get(jobId).size === 0) return
    const isGang = job.request.steps[step]?.isGang === true
    const { tasks = [] } = job.steps[step] ?? {}
    const indexes = isGang ? tasks.keys() : [index]
    for (const at of indexes) {
      const task = tasks[at]
      if (task === undefined) continue
      for (const run of listTaskRuns(task, { jobId, step, index: at })) this.remove(run)
    }
  }
}

/** Lists the runs of a job that ended with a silence that is not settled, but for tasks that are done. */
function listSilentRuns({ request: { jobId }, steps }: JobRecord): Placement[] {
  return steps.flatMap(({ tasks }, step) =>
    tasks.flatMap((task, index) =>
      task.phase === 'done' ? [] : listTaskRuns(task, { jobId, step, index }),
    ),
  )
}

function listTaskRuns(task: TaskRecord, ref: TaskRef): Placement[] {
  return listSilences(task).map(({ attempt, upstreamId }) => ({ ...ref, attempt, upstreamId }))
}
