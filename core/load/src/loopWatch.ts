/**
 * Watches the event loop of the process. A loop that is short of processor time serves its timers late, and with them
 * every call, lease and election; `loop.late` says so in the log, with what the time went into.
 */
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import { performance, type EventLoopUtilization } from 'node:perf_hooks'
import { readWorkMs, workKinds } from './measureWork.js'

/** Each sample wakes the process. */
const sampleEveryMs = 100
/** At most one line of the log is written in this time. */
const reportEveryMs = 2000
/** Callers and peers notice longer delays: a heartbeat comes every 150 ms. */
const lateMsMin = 50
const wholePercent = 100

export interface LoopWatchOptions {
  clock: Clock
  logger: Logger
  metrics: MetricsRegistry
}

interface Window {
  readonly startMs: number
  readonly utilization: EventLoopUtilization
  readonly workMs: readonly number[]
  samples: number
  lateMsSum: number
  lateMsMax: number
}

export class LoopWatch {
  readonly #opts: LoopWatchOptions
  #window: Window

  constructor(opts: LoopWatchOptions) {
    this.#opts = opts
    this.#window = this.#openWindow()
    opts.metrics.gauge(
      'event_loop_utilization',
      () => performance.eventLoopUtilization().utilization,
    )
  }

  /** Runs until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#opts
    this.#window = this.#openWindow()
    const isOver = (): boolean => signal.aborted
    while (!isOver()) {
      const dueMs = clock.monotonicMs() + sampleEveryMs
      await clock.sleep(sampleEveryMs, signal)
      if (!isOver()) this.#noteSample(clock.monotonicMs() - dueMs)
    }
  }

  #noteSample(lateMs: number): void {
    this.#opts.metrics.recordMs('event_loop_late_ms', lateMs)
    const window = this.#window
    window.samples += 1
    window.lateMsSum += lateMs
    window.lateMsMax = Math.max(window.lateMsMax, lateMs)
    if (this.#opts.clock.monotonicMs() - window.startMs < reportEveryMs) return
    if (window.lateMsMax >= lateMsMin) this.#report(window)
    this.#window = this.#openWindow()
  }

  #report({ startMs, utilization, workMs, samples, lateMsSum, lateMsMax }: Window): void {
    const { clock, logger, metrics } = this.#opts
    const busy = performance.eventLoopUtilization(utilization).utilization
    const work = workKinds.map((kind, at): [string, number] => {
      return [`${kind}Ms`, Math.round(readWorkMs(metrics, kind) - (workMs[at] ?? 0))]
    })
    logger.info({
      event: 'loop.late',
      windowMs: Math.round(clock.monotonicMs() - startMs),
      busyPercent: Math.round(busy * wholePercent),
      meanLateMs: Math.round(lateMsSum / samples),
      maxLateMs: Math.round(lateMsMax),
      ...Object.fromEntries(work),
    })
  }

  #openWindow(): Window {
    const { clock, metrics } = this.#opts
    return {
      startMs: clock.monotonicMs(),
      utilization: performance.eventLoopUtilization(),
      workMs: workKinds.map((kind) => readWorkMs(metrics, kind)),
      samples: 0,
      lateMsSum: 0,
      lateMsMax: 0,
    }
  }
}
