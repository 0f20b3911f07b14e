/**
 * Quarantines upstreams on which runs fail. A job that cannot succeed fails everywhere, so failures are counted by
 * distinct jobs, and one success clears them.
 */
import type { RunEnd } from '@nettlespur/batch.state'

/** Distinct jobs that must fail in a row before an upstream is quarantined. A single one is often the job's own fault. */
const failedJobsMin = 2
/** Longer than most disturbances of an upstream last. After it, a single further failure quarantines it again. */
const quarantineMs = 8000

/** How long after a crash an address counts as likely to crash again. */
const crashedLatelyMs = 20_000

interface FailureRecord {
  failedJobs: Set<string>
  lastFailureMs: number
}

export class UpstreamHealth {
  readonly #records = new Map<string, FailureRecord>()
  /** When an upstream last crashed at each address, the oldest first. */
  readonly #crashedAtMs = new Map<string, number>()

  /**
   * Records the end of a run; outcomes that tell nothing about the upstream are ignored. `address` is that of the
   * upstream, undefined if the state no longer holds it.
   */
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

  /** Whether an upstream at that address crashed recently; its successor there may do so too. */
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
