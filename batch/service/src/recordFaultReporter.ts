/**
 * Tells of records of other writers that were left out: all are counted, and each sender and kind of fault gets one
 * line a minute, so that a sender that goes on for hours fills neither the log nor the memory.
 */
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'

/** Time between two lines of the same sender and kind. */
const reportIntervalMs = 60_000
/** Senders and kinds that are told apart in that time; further ones are only counted. */
const trackedMax = 500
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

export interface RecordFaultReporterOptions {
  clock: Clock
  logger: Logger
  metrics: MetricsRegistry
}

export class RecordFaultReporter {
  readonly #opts: RecordFaultReporterOptions
  /** When the last line of each sender and kind was written, the oldest first. */
  readonly #reportedAtMs = new Map<string, number>()

  constructor(opts: RecordFaultReporterOptions) {
    this.#opts = opts
  }

  report({ kind, sender, reason, count = 1 }: RecordFault): void {
    const { logger, metrics } = this.#opts
    metrics.count(`records_left_out_${kind.replaceAll('-', '_')}_total`, count)
    const shortSender = sender.slice(0, senderCharactersMax)
    if (!this.#isReportDue(`${kind} ${shortSender}`)) return
    const shortReason = reason.slice(0, reasonCharactersMax)
    logger.warn({
      event: 'record.left-out',
      kind,
      sender: shortSender,
      count,
      reason: shortReason,
    })
  }

  #isReportDue(key: string): boolean {
    const nowMs = this.#opts.clock.monotonicMs()
    for (const [oldKey, reportedAtMs] of this.#reportedAtMs) {
      if (nowMs - reportedAtMs < reportIntervalMs) break
      this.#reportedAtMs.delete(oldKey)
    }
    if (this.#reportedAtMs.has(key) || this.#reportedAtMs.size >= trackedMax) return false
    this.#reportedAtMs.set(key, nowMs)
    return true
  }
}
