/** When this leader first saw each job, and first saw it ended. */
import type { BatchState } from '@nettlespur/batch.state'

export class JobClock {
  readonly acceptedAtMs = new Map<string, number>()
  readonly endedAtMs = new Map<string, number>()

  update({ unsettled, jobs }: BatchState, nowMs: number): void {
    for (const jobId of unsettled.keys()) {
      if (!this.acceptedAtMs.has(jobId)) this.acceptedAtMs.set(jobId, nowMs)
    }
    for (const jobId of jobs.keys()) {
      if (!unsettled.has(jobId) && !this.endedAtMs.has(jobId)) this.endedAtMs.set(jobId, nowMs)
    }
  }

  waitedMs(jobId: string, nowMs: number): number {
    return nowMs - (this.acceptedAtMs.get(jobId) ?? nowMs)
  }

  forget(jobId: string): void {
    this.acceptedAtMs.delete(jobId)
    this.endedAtMs.delete(jobId)
  }
}
