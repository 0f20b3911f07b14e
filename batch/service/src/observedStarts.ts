/**
 * The jobs of which a task has begun, as answers of upstreams have shown this leader. The replicated state learns it as a run
 * ends, so that the next leader knows it although the run is gone.
 */
import type { RunRef } from '@nettlespur/batch.model'
import { showsBegunTask, type BatchState, type Command, type RunEnd } from '@nettlespur/batch.state'

export class ObservedStarts {
  readonly #getState: () => BatchState
  readonly #jobIds = new Set<string>()

  constructor(getState: () => BatchState) {
    this.#getState = getState
  }

  has(jobId: string): boolean {
    return this.#jobIds.has(jobId) || this.#getState().begunJobs.has(jobId)
  }

  note({ jobId }: RunRef): void {
    this.#jobIds.add(jobId)
  }

  /** Returns the end, marked with `hasBegun` if the state would not learn otherwise that the job has begun. */
  markEnd(end: RunEnd): RunEnd {
    const { begunJobs, jobs } = this.#getState()
    const isKnown = begunJobs.has(end.jobId) || showsBegunTask(end)
    const goesOn = jobs.get(end.jobId)?.status === 'active'
    if (isKnown || !goesOn || !this.#jobIds.has(end.jobId)) return end
    return { ...end, hasBegun: true }
  }

  /** Call it after each applied command. */
  noteApplied(command: Command): void {
    if (command.type !== 'forget-jobs') return
    for (const jobId of command.jobIds) this.#jobIds.delete(jobId)
  }
}
