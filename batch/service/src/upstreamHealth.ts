/**
 * Which upstreams are kept from new work because runs fail there. A job that can never be done fails
 * everywhere, so failures count by distinct jobs, and one success clears them.
 */
import type { RunEnd } from '@nettlespur/batch.state'

/** Distinct jobs that must have failed in a row. One is often the job's own fault. */
const failedJobsMin = 2
/** Longer than most troubles of an upstream last; after it, one run tries it out. */
const quarantineMs = 8000

/** How long an address counts as one where lives end soon. */
const crashedLatelyMs = 20_000

interface FailureRecord {
  failedJobs: Set<string>
  lastFailureMs: number
}

export class UpstreamHealth {
  readonly #records = new Map<string, FailureRecord>()
  /** When a life last crashed at each address, the oldest first. */
  readonly #crashedAtMs = new Map<string, number>()

  /** Ends that say nothing of the upstream are passed over. `address`: its own; undefined where it is forgotten. */
  noteEnd(end: RunEnd, address: string | undefined, nowMs: number): void {
    const { upstreamId, jobId, outcome } = end
    if (outcome === 'done') this.#records.delete(upstreamId)
    if (outcome === 'failed') this.#noteFailure(upstreamId, jobId, nowMs)
    if (outcome === 'crashed' && address !== undefined) this.#noteCrash(address, nowMs)
  }

  isQuarantined(upstreamId: string, nowMs: number): boolean {
    const record = this.#records.get(upstreamId)
    if (record === undefined || record.failedJobs.size < failedJobsMin) return false
    return nowMs - record.lastFailureMs < quarantineMs
  }

  /** A life at that address crashed; the next one there may do so too. */
  hasCrashedLately(address: string, nowMs: number): boolean {
    return nowMs - (this.#crashedAtMs.get(address) ?? -Infinity) < crashedLatelyMs
  }

  #noteCrash(address: string, nowMs: number): void {
    for (const [oldAddress, crashedAtMs] of this.#crashedAtMs) {
      if (nowMs - crashedAtMs < crashedLatelyMs) break
      this.#crashedAtMs.delete(oldAddress)
    }
    this.#crashedAtMs.delete(address)
    this.#crashedAtMs.set(address, nowMs)
  }

  #noteFailure(upstreamId: string, jobId: string, nowMs: number): void {
    const record = this.#records.get(upstreamId) ?? { failedJobs: new Set(), lastFailureMs: nowMs }
    record.failedJobs.add(jobId)
    record.lastFailureMs = nowMs
    this.#records.set(upstreamId, record)
  }
}
