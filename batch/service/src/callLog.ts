/**
 * Logs calls to the leader and records their metrics. Each change, failed call and slow read has a log line. Other reads
 * are too many for that: one summary a second names their subjects, so that a search for a job's id finds them.
 */
import type { Clock, Timer } from '@nettlespur/core.clock'
import type { NettlespurError } from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import type { CallTrace } from './callTrace.js'
import type { Operation } from './operation.js'
import { ReadSummary } from './readSummary.js'

/** Several times what a read takes, also in a burst of them. */
const slowReadMs = 200
/** Log lines for slow reads a second; in an overloaded process, further slow reads are counted in the summary. */
const slowLinesMax = 20
const summaryEveryMs = 1000

export interface CallLogOptions {
  clock: Clock
  logger: Logger
  metrics: MetricsRegistry
}

export class CallLog {
  readonly #opts: CallLogOptions
  readonly #summaries = new Map<string, ReadSummary>()
  #timer: Timer | undefined
  #slowLines = 0

  constructor(opts: CallLogOptions) {
    this.#opts = opts
  }

  /** Writes the pending summaries. */
  close(): void {
    this.#timer?.cancel()
    this.#writeSummaries()
  }

  record(
    operation: Operation<unknown>,
    trace: CallTrace,
    leaderAddress: string | undefined,
    error?: NettlespurError,
  ): void {
    const { name: call, subject, kind } = operation
    const outcome = error?.kind ?? 'done'
    this.#recordMetrics(operation, trace, outcome)
    if (error === undefined && kind === 'repeated') return
    if (kind === 'read' && error === undefined && !this.#claimSlowLine(trace)) {
      this.#summarise(call, subject, trace)
      return
    }
    const reason = error?.message
    const base = { event: 'call.answered', call, subject, outcome, leaderAddress }
    this.#opts.logger.info({ ...base, ...trace.describe(), reason })
  }

  #recordMetrics({ name }: Operation<unknown>, trace: CallTrace, outcome: string): void {
    const { metrics } = this.#opts
    const call = name.replaceAll('-', '_')
    metrics.recordMs(`call_${call}_ms`, trace.tookMs)
    metrics.count(`calls_${call}_${outcome.replaceAll('-', '_')}_total`)
    if (trace.searchMs > 0) metrics.recordMs(`call_${call}_search_ms`, trace.searchMs)
    if (trace.isCallerGone) metrics.count(`calls_${call}_caller_gone_total`)
  }

  /**
   * Whether the read gets a line of its own: it was slow, or its caller is gone and did not get the answer. Counts it
   * against `slowLinesMax`.
   */
  #claimSlowLine(trace: CallTrace): boolean {
    if (trace.tookMs < slowReadMs && !trace.isCallerGone) return false
    this.#startTimer()
    this.#slowLines += 1
    return this.#slowLines <= slowLinesMax
  }

  #summarise(call: string, subject: string, trace: CallTrace): void {
    this.#startTimer()
    const summary = this.#summaries.get(call) ?? new ReadSummary()
    this.#summaries.set(call, summary)
    summary.add(subject, trace, trace.tookMs >= slowReadMs)
  }

  #startTimer(): void {
    this.#timer ??= this.#opts.clock.setTimer(summaryEveryMs, () => {
      this.#writeSummaries()
    })
  }

  #writeSummaries(): void {
    this.#timer = undefined
    this.#slowLines = 0
    for (const [call, summary] of this.#summaries) {
      this.#opts.logger.info({ event: 'calls.answered', call, ...summary.describe() })
    }
    this.#summaries.clear()
  }
}
