/**
 * Tells of records of other writers that were left out: all are counted, and each sender and kind of fault gets one
 * line a minute, so that a sender that goes on for hours fills neither the log nor the memory.
 */
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'

/** Time between two lines of the same sender and kind. */
const lineEveryMs = 60_000
/** Senders and kinds that are told apart in that time; further ones are only counted. */
const keptMax = 500
const senderCharactersMax = 64
const reasonCharactersMax = 200

export type RecordFaultKind =
  'running-row' | 'finished-row' | 'announcement' | 'leave' | 'config' | 'unknown-pool'

export interface RecordFault {
  readonly kind: RecordFaultKind
  /** Who sent it, as it names itself. */
  readonly sender: string
  readonly reason: string
  /** Rows, where there are several. */
  readonly count?: number
}

export interface RecordFaultsOptions {
  clock: Clock
  logger: Logger
  metrics: MetricsRegistry
}

export class RecordFaults {
  readonly #opts: RecordFaultsOptions
  /** When the last line of each sender and kind was written, the oldest first. */
  readonly #toldAtMs = new Map<string, number>()

  constructor(opts: RecordFaultsOptions) {
    this.#opts = opts
  }

  note({ kind, sender, reason, count = 1 }: RecordFault): void {
    const { logger, metrics } = this.#opts
    metrics.count(`records_left_out_${kind.replaceAll('-', '_')}_total`, count)
    const shortSender = sender.slice(0, senderCharactersMax)
    if (!this.#isLineDue(`${kind} ${shortSender}`)) return
    const shortReason = reason.slice(0, reasonCharactersMax)
    logger.warn({
      event: 'record.left-out',
      kind,
      sender: shortSender,
      count,
      reason: shortReason,
    })
  }

  #isLineDue(key: string): boolean {
    const nowMs = this.#opts.clock.monotonicMs()
    for (const [oldKey, toldAtMs] of this.#toldAtMs) {
      if (nowMs - toldAtMs < lineEveryMs) break
      this.#toldAtMs.delete(oldKey)
    }
    if (this.#toldAtMs.has(key) || this.#toldAtMs.size >= keptMax) return false
    this.#toldAtMs.set(key, nowMs)
    return true
  }
}
