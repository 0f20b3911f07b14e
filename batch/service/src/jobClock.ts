/**
 * When this member first saw each job, and whether the job's end was reported. Every member keeps these times, so that
 * the next leader knows how long each job has waited; otherwise a job close to its objective would count as new and queue
 * behind others.
 */
import type { BatchState, Command } from '@nettlespur/batch.state'

export class JobClock {
  readonly acceptedAtMs = new Map<string, number>()
  readonly #ended = new Set<string>()

  /** Call it after each applied command, on every member. */
  noteApplied(command: Command, { jobs }: BatchState, nowMs: number): void {
    if (command.type === 'submit-job') this.#note(command.request.jobId, nowMs)
    if (command.type === 'forget-jobs') this.#keepOnly(jobs)
  }

  /** Adds jobs that came with a snapshot, as accepted now, and forgets jobs that the state no longer holds. */
  update({ unsettled, jobs }: BatchState, nowMs: number): void {
    for (const jobId of unsettled.keys()) this.#note(jobId, nowMs)
    if (this.acceptedAtMs.size > jobs.size) this.#keepOnly(jobs)
  }

  waitedMs(jobId: string, nowMs: number): number {
    return nowMs - (this.acceptedAtMs.get(jobId) ?? nowMs)
  }

  /** Returns true only the first time, since ends of the job's runs may be committed concurrently. */
  noteEnded(jobId: string): boolean {
    const isNew = !this.#ended.has(jobId)
    this.#ended.add(jobId)
    return isNew
  }

  #note(jobId: string, nowMs: number): void {
    if (!this.acceptedAtMs.has(jobId)) this.acceptedAtMs.set(jobId, nowMs)
  }

  #keepOnly(jobs: ReadonlyMap<string, unknown>): void {
    for (const jobId of this.acceptedAtMs.keys()) {
      if (jobs.has(jobId)) continue
      this.acceptedAtMs.delete(jobId)
      this.#ended.delete(jobId)
    }
  }
}
