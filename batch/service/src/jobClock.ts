/** When this leader first saw each job. */
import type { BatchState } from '@nettlespur/batch.state'

export class JobClock {
  readonly acceptedAtMs = new Map<string, number>()

  update({ unsettled, jobs }: BatchState, nowMs: number): void {
    for (const jobId of unsettled.keys()) {
      if (!this.acceptedAtMs.has(jobId)) this.acceptedAtMs.set(jobId, nowMs)
    }
    if (this.acceptedAtMs.size > jobs.size) this.#keepOnly(jobs)
  }

  waitedMs(jobId: string, nowMs: number): number {
    return nowMs - (this.acceptedAtMs.get(jobId) ?? nowMs)
  }

  #keepOnly(jobs: ReadonlyMap<string, unknown>): void {
    for (const jobId of this.acceptedAtMs.keys()) {
      if (!jobs.has(jobId)) this.acceptedAtMs.delete(jobId)
    }
  }
}
