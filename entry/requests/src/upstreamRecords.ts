/**
 * Decides from recent outcomes which upstreams get work from this entry. At most half of the known upstreams
 * are ejected at a time: if most fail, the cause lies elsewhere, and some upstream has to do the work.
 */
import type { Clock, Timer } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import { BehaviorSubject } from 'rxjs'
import { UpstreamRecord } from './upstreamRecord.js'

/** An upstream is slow if its mean time is at least this multiple of the median of the others. */
const slowFactor = 4
/** Smaller differences from the median never count as slow. */
const slowFloorMs = 50
const ejectedShareMax = 0.5
const recordsKeptMax = 1024

/** How an attempt ended, as evidence of the upstream's health. */
export type AttemptResult = 'answered' | 'failed' | 'refused'

export interface UpstreamRecordsOptions {
  clock: Clock
  logger: Logger
}

export class UpstreamRecords {
  /** Incremented when an ejection ends and the upstream may get work again. */
  readonly changes = new BehaviorSubject(0)
  readonly #opts: UpstreamRecordsOptions
  readonly #timers = new Set<Timer>()
  readonly #records = new Map<string, UpstreamRecord>()

  constructor(opts: UpstreamRecordsOptions) {
    this.#opts = opts
  }

  /** Whether the upstream may be given one more request now. */
  canTakeRequest(upstreamId: string): boolean {
    const record = this.#records.get(upstreamId)
    return record === undefined || (!record.isEjected && record.hasTrialCapacity)
  }

  noteStart(upstreamId: string): void {
    this.#recordOf(upstreamId).inFlight += 1
  }

  /** Records the end of an attempt. A refusal says nothing about the upstream's health. */
  noteEnd(upstreamId: string, outcome: { result: AttemptResult; tookMs: number }): void {
    const record = this.#recordOf(upstreamId)
    record.inFlight -= 1
    // Requests that were in flight at the ejection are no new evidence.
    if (record.isEjected || outcome.result === 'refused') return
    if (outcome.result === 'answered') record.noteAnswer(outcome.tookMs)
    else record.noteFailure()
    const reason = this.#findReason(record)
    if (reason !== undefined && this.#canEject()) this.#eject(upstreamId, record, reason)
  }

  /** Returns the upstream's mean time to an answer, else the median of the others, else undefined. */
  typicalMs(upstreamId: string): number | undefined {
    const record = this.#recordOf(upstreamId)
    return record.meanMs ?? this.#medianOfOthers(record)
  }

  close(): void {
    for (const timer of this.#timers) timer.cancel()
  }

  #eject(upstreamId: string, record: UpstreamRecord, reason: string): void {
    const outMs = record.eject()
    this.#opts.logger.warn({ event: 'upstream.let-out', upstreamId, outMs, reason })
    const timer = this.#opts.clock.setTimer(outMs, () => {
      this.#timers.delete(timer)
      this.#opts.logger.info({ event: 'upstream.on-trial', upstreamId })
      this.changes.next(this.changes.value + 1)
    })
    this.#timers.add(timer)
  }

  #findReason(record: UpstreamRecord): string | undefined {
    if (record.hasHighFailureRate) return 'most of its recent requests failed'
    const ownMs = record.meanMs
    const othersMs = this.#medianOfOthers(record)
    if (ownMs === undefined || othersMs === undefined) return undefined
    if (ownMs < othersMs * slowFactor || ownMs < othersMs + slowFloorMs) return undefined
    return `mean ${Math.round(ownMs)} ms where others take ${Math.round(othersMs)} ms`
  }

  #medianOfOthers(record: UpstreamRecord): number | undefined {
    const others = [...this.#records.values()].filter((other) => other !== record)
    const means = others.flatMap((other) => other.meanMs ?? []).sort((a, b) => a - b)
    return means[Math.floor(means.length / 2)]
  }

  #canEject(): boolean {
    const records = [...this.#records.values()]
    const out = records.filter((record) => record.isEjected).length
    return out + 1 <= records.length * ejectedShareMax
  }

  #recordOf(upstreamId: string): UpstreamRecord {
    const known = this.#records.get(upstreamId)
    if (known !== undefined) return known
    if (this.#records.size >= recordsKeptMax) this.#forgetOldest()
    const made = new UpstreamRecord(this.#opts.clock)
    this.#records.set(upstreamId, made)
    return made
  }

  #forgetOldest(): void {
    for (const [upstreamId, record] of this.#records) {
      if (record.inFlight > 0 || record.isEjected) continue
      this.#records.delete(upstreamId)
      return
    }
  }
}
