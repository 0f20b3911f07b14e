/**
 * Runs load against a target for a time. An open run sends at its rate whatever comes back, as many callers
 * do; a closed one keeps a number of callers busy, each with one call at a time.
 */
import type { Clock } from '@nettlespur/core.clock'
import { LoadReport } from './loadReport.js'
import type { LoadTarget } from './loadTarget.js'

const defaultInFlightMax = 5000

export interface RunLoadOptions {
  clock: Clock
  target: LoadTarget
  durationMs: number
}

export interface OpenLoadOptions extends RunLoadOptions {
  ratePerSecond: number
  /** Calls due beyond this many under way count as failed at once. */
  inFlightMax?: number
}

export interface ClosedLoadOptions extends RunLoadOptions {
  callers: number
}

/** Resolves when each call has ended. */
export async function runOpenLoad(opts: OpenLoadOptions): Promise<LoadReport> {
  const { clock, ratePerSecond, durationMs } = opts
  const report = new LoadReport()
  const running = new Set<Promise<void>>()
  const startMs = clock.monotonicMs()
  const total = Math.floor((ratePerSecond * durationMs) / 1000)
  for (let index = 0; index < total; index++) {
    const dueMs = startMs + (index * 1000) / ratePerSecond
    const aheadMs = dueMs - clock.monotonicMs()
    if (aheadMs > 0) await clock.sleep(aheadMs)
    if (running.size >= (opts.inFlightMax ?? defaultInFlightMax)) {
      report.note('failed', 0)
      continue
    }
    const call = sendOne(opts, report, index, dueMs).then(() => {
      running.delete(call)
    })
    running.add(call)
  }
  report.durationMs = durationMs
  await Promise.all(running)
  return report
}

/** Resolves when each caller has had its last answer. */
export async function runClosedLoad(opts: ClosedLoadOptions): Promise<LoadReport> {
  const { clock, callers, durationMs } = opts
  const report = new LoadReport()
  const startMs = clock.monotonicMs()
  let next = 0
  const call = async (): Promise<void> => {
    while (clock.monotonicMs() - startMs < durationMs) {
      await sendOne(opts, report, next++, clock.monotonicMs())
    }
  }
  await Promise.all(Array.from({ length: callers }, call))
  report.durationMs = clock.monotonicMs() - startMs
  return report
}

async function sendOne(
  opts: RunLoadOptions,
  report: LoadReport,
  index: number,
  dueMs: number,
): Promise<void> {
  const outcome = await opts.target.send(index)
  report.note(outcome, opts.clock.monotonicMs() - dueMs)
}
