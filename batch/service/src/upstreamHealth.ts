/**
 * Which upstreams are kept from new work because runs fail there. A job that can never be done fails
 * everywhere, so failures count by distinct jobs, and one success clears them.
 */

/** Distinct jobs that must have failed in a row. One is often the job's own fault. */
const failedJobsMin = 2
/** Longer than most troubles of an upstream last; after it, one run tries it out. */
const quarantineMs = 8000

interface Record {
  failedJobs: Set<string>
  lastFailureMs: number
}

export class UpstreamHealth {
  readonly #records = new Map<string, Record>()

  noteFailure(upstreamId: string, jobId: string, nowMs: number): void {
    const record = this.#records.get(upstreamId) ?? { failedJobs: new Set(), lastFailureMs: nowMs }
    record.failedJobs.add(jobId)
    record.lastFailureMs = nowMs
    this.#records.set(upstreamId, record)
  }

  noteSuccess(upstreamId: string): void {
    this.#records.delete(upstreamId)
  }

  isQuarantined(upstreamId: string, nowMs: number): boolean {
    const record = this.#records.get(upstreamId)
    if (record === undefined || record.failedJobs.size < failedJobsMin) return false
    return nowMs - record.lastFailureMs < quarantineMs
  }
}
