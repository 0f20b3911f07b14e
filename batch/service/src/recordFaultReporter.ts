/**
 * Reports records of other writers that were ignored as invalid. All are counted, and each sender and kind of fault is
 * logged once a minute, so that a sender that goes on for hours fills neither the log nor the memory.
 */
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'

/** Interval between log lines for the same sender and kind. */
const reportIntervalMs = 60_000
/** Pairs of sender and kind that are logged within one interval; further ones are only counted. */
const trackedMax = 500
const senderCharactersMax = 64
const reasonCharactersMax = 200

export type RecordFaultKind =
  | 'running-row'
  | 'finished-row'
  | 'announcement'
  | 'stale-announcement'
  | 'leave'
  | 'config'
  | 'evacuation'
  | 'unknown-pool'
  /** Impossible progress of a run, from which no pace follows. */
  | 'pace'

export interface RecordFault {
  readonly kind: RecordFaultKind
  /** The sender, by the name that it gives itself. */
  readonly sender: string
  readonly reason: string
  /** Number of rows; 1 if absent. */
  readonly count?: number
}

export interface RecordFaultReporterOptions {
  clock: Clock
  logger: Logger
  metrics: MetricsRegistry
}

export class RecordFaultReporter {
  readonly #opts: RecordFaultReporterOptions
  /** When each sender and kind was last logged, the oldest first. */
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
