/**
 * The jobs that make scheduling rounds fail. Each is left out of rounds for a while and then tried again, as the cause may have
 * passed. The list is kept in the leader's memory.
 */
import type { JobFault } from '@nettlespur/batch.scheduler'
import { describeFault } from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'

/** Each try costs two rounds and a search for the jobs at fault. */
const retryAfterMs = 10_000

export interface FaultyJobsOptions {
  logger: Logger
  metrics: MetricsRegistry
}

export class FaultyJobs {
  readonly #opts: FaultyJobsOptions
  readonly #untilMs = new Map<string, number>()

  constructor(opts: FaultyJobsOptions) {
    this.#opts = opts
  }

  note(faults: readonly JobFault[], nowMs: number): void {
    const { logger, metrics } = this.#opts
    for (const { jobId, cause } of faults) {
      this.#untilMs.set(jobId, nowMs + retryAfterMs)
      logger.error({ event: 'job.left-out', jobId, ...describeFault(cause), retryAfterMs })
      metrics.count('jobs_left_out_total')
    }
  }

  isLeftOut(jobId: string, nowMs: number): boolean {
    const untilMs = this.#untilMs.get(jobId)
    if (untilMs === undefined || nowMs < untilMs) return untilMs !== undefined
    this.#untilMs.delete(jobId)
    return false
  }
}
