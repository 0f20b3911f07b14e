/**
 * Quarantines upstreams on which runs fail. A job that cannot succeed fails everywhere, so failures are counted by
 * distinct jobs, and one success clears them. For a while after a quarantine, a crash or a loss, an upstream also counts
 * as unstable: fleets on which upstreams go down and up by turns would lose a whole gang with each member there.
 */
import type { UpstreamDescription } from '@nettlespur/batch.model'
import type { RunEnd, UpstreamRecord } from '@nettlespur/batch.state'
import { RecentTimes } from './recentTimes.js'

/** Distinct jobs that must fail in a row before an upstream is quarantined. A single one is often the job's own fault. */
const failedJobsMin = 2
/** Longer than most disturbances of an upstream last. After it, a single further failure quarantines it again. */
const quarantineMs = 8000

/** How long after a crash an address counts as likely to crash again. */
const crashedLatelyMs = 20_000
/**
 * Longer than an upstream that goes down and up by turns stays up, and longer than the quarantine, so that single runs
 * come before gangs.
 */
const unstableMs = 10_000

/** Identifies an upstream, and the address at which its next process will be found. */
export type UpstreamPlace = Pick<UpstreamDescription, 'upstreamId' | 'address'>

/** An upstream that has become unstable, and why. */
export interface InstabilityNotice extends UpstreamPlace {
  readonly cause: 'crashed' | 'silent' | 'replaced' | 'failed-runs'
}

interface FailureRecord {
  failedJobs: Set<string>
  lastFailureMs: number
}

export class UpstreamHealth {
  readonly #records = new Map<string, FailureRecord>()
  /** Crashes by address. */
  readonly #crashes = new RecentTimes(crashedLatelyMs)
  /** Losses, crashes and returns by address. */
  readonly #disturbances = new RecentTimes(unstableMs)
  readonly #onUnstable: (notice: InstabilityNotice) => void

  /** `onUnstable` is called for each upstream that becomes unstable, and not again as long as it stays so. */
  constructor(onUnstable: (notice: InstabilityNotice) => void = () => undefined) {
    this.#onUnstable = onUnstable
  }

  /**
   * Records the end of a run; outcomes that tell nothing about the upstream are ignored. `address` is that of the
   * upstream, undefined if the state no longer holds it.
   */
  noteEnd(end: RunEnd, address: string | undefined, nowMs: number): void {
    const { upstreamId, jobId, outcome } = end
    if (outcome === 'done') this.#records.delete(upstreamId)
    if (outcome === 'failed')
      this.#observe({ upstreamId, address: address ?? '', cause: 'failed-runs' }, nowMs, () => {
        this.#noteFailure(upstreamId, jobId, nowMs)
      })
    if (address === undefined) return
    if (outcome === 'crashed') this.noteCrash({ upstreamId, address }, nowMs)
    if (outcome === 'silent') this.#noteDisturbance({ upstreamId, address, cause: 'silent' }, nowMs)
  }

  /** Records that the upstream has certainly crashed. */
  noteCrash(place: UpstreamPlace, nowMs: number): void {
    this.#crashes.note(place.address, nowMs)
    this.#noteDisturbance({ ...place, cause: 'crashed' }, nowMs)
  }

  /** Records that the upstream's process is gone or has been replaced at its address. A planned stop is not recorded. */
  noteLoss({ description, isDraining, hasLeft }: UpstreamRecord, nowMs: number): void {
    if (isDraining || hasLeft) return
    const { upstreamId, address } = description
    this.#noteDisturbance({ upstreamId, address, cause: 'replaced' }, nowMs)
  }

  isQuarantined(upstreamId: string, nowMs: number): boolean {
    return this.#hasFailedWithin(upstreamId, nowMs, quarantineMs)
  }

  /** Whether runs are likely to fail there again. */
  isUnstable({ upstreamId, address }: UpstreamPlace, nowMs: number): boolean {
    if (this.#disturbances.has(address, nowMs)) return true
    return this.#hasFailedWithin(upstreamId, nowMs, unstableMs)
  }

  /** Whether an upstream at that address crashed recently; its successor there may do so too. */
  hasCrashedLately(address: string, nowMs: number): boolean {
    return this.#crashes.has(address, nowMs)
  }

  #hasFailedWithin(upstreamId: string, nowMs: number, withinMs: number): boolean {
    const record = this.#records.get(upstreamId)
    if (record === undefined || record.failedJobs.size < failedJobsMin) return false
    return nowMs - record.lastFailureMs < withinMs
  }

  #noteDisturbance(notice: InstabilityNotice, nowMs: number): void {
    this.#observe(notice, nowMs, () => {
      this.#disturbances.note(notice.address, nowMs)
    })
  }

  /** Calls `record`, and reports the upstream if that has made it unstable. */
  #observe(notice: InstabilityNotice, nowMs: number, record: () => void): void {
    const wasUnstable = this.isUnstable(notice, nowMs)
    record()
    if (!wasUnstable && this.isUnstable(notice, nowMs)) this.#onUnstable(notice)
  }

  #noteFailure(upstreamId: string, jobId: string, nowMs: number): void {
    const record = this.#records.get(upstreamId) ?? { failedJobs: new Set(), lastFailureMs: nowMs }
    record.failedJobs.add(jobId)
    record.lastFailureMs = nowMs
    this.#records.set(upstreamId, record)
  }
}
