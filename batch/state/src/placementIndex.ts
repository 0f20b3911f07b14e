/** Index of placed runs by upstream, updated with the jobs so that looking up an upstream need not scan them. */
import type { Placement } from './command.js'
import type { JobRecord } from './records.js'
import { RunTable } from './runTable.js'

export class PlacementIndex {
  readonly #byUpstream = new RunTable()

  /** Upstreams with at least one placed run. */
  get upstreamIds(): IterableIterator<string> {
    return this.#byUpstream.keys
  }

  /** The runs placed on the upstream, by run key. */
  getByUpstream(upstreamId: string): ReadonlyMap<string, Placement> {
    return this.#byUpstream.get(upstreamId)
  }

  add(placement: Placement): void {
    this.#byUpstream.add(placement.upstreamId, placement)
  }

  remove(placement: Placement): void {
    this.#byUpstream.remove(placement.upstreamId, placement)
  }

  /** Adds all placed runs of a job. */
  addJob(job: JobRecord): void {
    for (const placement of listPlacements(job)) this.add(placement)
  }
}

/** Lists the placed runs of a job. */
export function listPlacements(job: JobRecord): Placement[] {
  return job.steps.flatMap((_, step) => listStepPlacements(job, step))
}

/** Lists the placed runs of one step. */
export function listStepPlacements({ request: { jobId }, steps }: JobRecord, step: number) {
  const tasks = steps[step]?.tasks ?? []
  return tasks.flatMap(({ attempt, upstreamId }, index): Placement[] =>
    upstreamId === undefined ? [] : [{ jobId, step, index, attempt, upstreamId }],
  )
}

/** Whether any run of the job is placed. */
export function hasPlacements({ steps }: JobRecord): boolean {
  return steps.some(({ tasks }) => tasks.some(({ upstreamId }) => upstreamId !== undefined))
}
