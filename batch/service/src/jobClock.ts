/**
 * When this member first saw each job, and whether its end was reported. Every member keeps one, so that the next leader
 * knows how long each job has waited: taken for new, a job that is about to be late would wait behind others.
 */
import type { BatchState, Command } from '@nettlespur/batch.state'

export class JobClock {
  readonly acceptedAtMs = new Map<string, number>()
  readonly #ended = new Set<string>()

  /** To be called after each applied command, on every member. */
  noteApplied(command: Command, { jobs }: BatchState, nowMs: number): void {
    if (command.type === 'submit-job') this.#note(command.request.jobId, nowMs)
    if (command.type === 'forget-jobs') this.#keepOnly(jobs)
  }

  /** Takes in jobs that came with a snapshot, as accepted now. */
  update({ unsettled, jobs }: BatchState, nowMs: number): void {
    for (const jobId of unsettled.keys()) this.#note(jobId, nowMs)
    if (this.acceptedAtMs.size > jobs.size) this.#keepOnly(jobs)
  }

  waitedMs(jobId: string, nowMs: number): number {
    return nowMs - (this.acceptedAtMs.get(jobId) ?? nowMs)
  }

  /** True the first time: ends of its runs may be committed side by side. */
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
