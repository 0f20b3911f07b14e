/** When this leader first saw each job, and whether its end was reported. */
import type { BatchState } from '@nettlespur/batch.state'

export class JobClock {
  readonly acceptedAtMs = new Map<string, number>()
  readonly #ended = new Set<string>()

  update({ unsettled, jobs }: BatchState, nowMs: number): void {
    for (const jobId of unsettled.keys()) {
      if (!this.acceptedAtMs.has(jobId)) this.acceptedAtMs.set(jobId, nowMs)
    }
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

  #keepOnly(jobs: ReadonlyMap<string, unknown>): void {
    for (const jobId of this.acceptedAtMs.keys()) {
      if (jobs.has(jobId)) continue
      this.acceptedAtMs.delete(jobId)
      this.#ended.delete(jobId)
    }
  }
}
