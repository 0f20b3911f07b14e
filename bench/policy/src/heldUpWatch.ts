/** Watches which jobs are held up: they have nothing running though they may start and there is ample room. */
import type { BatchState, JobRecord, Placement } from '@nettlespur/batch.state'

/** As the users judge it at the end of a day. */
const heldUpAfterMs = 3000
const mostUsedShare = 0.5
const roomTimes = 2

interface Use {
  readonly capacity: number
  readonly used: number
  readonly running: ReadonlySet<string>
}

export class HeldUpWatch {
  readonly #sinceMs = new Map<string, number>()

  /** To be called after each round. */
  look(state: BatchState, placements: Iterable<Placement>, nowMs: number): void {
    const use = sumUse(state, placements)
    for (const [jobId, job] of state.unsettled) {
      if (!hasRoom(job, use)) this.#sinceMs.delete(jobId)
      else if (!this.#sinceMs.has(jobId)) this.#sinceMs.set(jobId, nowMs)
    }
    for (const jobId of this.#sinceMs.keys()) {
      if (!state.unsettled.has(jobId)) this.#sinceMs.delete(jobId)
    }
  }

  /** Jobs that are held up now. */
  count(nowMs: number): number {
    return [...this.#sinceMs.values()].filter((sinceMs) => nowMs - sinceMs >= heldUpAfterMs).length
  }
}

/** By accelerators, which every job of a crowded day needs. */
function sumUse(state: BatchState, placements: Iterable<Placement>): Use {
  const running = new Set<string>()
  let used = 0
  for (const { jobId, step } of placements) {
    running.add(jobId)
    used += state.jobs.get(jobId)?.request.steps[step]?.needs.accelerators ?? 0
  }
  let capacity = 0
  for (const { description } of state.upstreams.values()) {
    capacity += description.capacity.accelerators
  }
  return { capacity, used, running }
}

function hasRoom(job: JobRecord, { capacity, used, running }: Use): boolean {
  if (job.status !== 'active' || running.has(job.request.jobId)) return false
  const at = job.steps.findIndex(({ tasks }) => tasks.some(({ phase }) => phase !== 'done'))
  const step = job.request.steps[at]
  if (step === undefined || used >= capacity * mostUsedShare) return false
  const needed = step.needs.accelerators * (step.isGang ? step.taskCount : 1)
  return capacity - used >= needed * roomTimes
}
