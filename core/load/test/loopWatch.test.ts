import { ManualClock } from '@nettlespur/core.clock'
import type { LogEvent, Logger } from '@nettlespur/core.logger'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import test from 'ava'
import { LoopWatch, measureWork } from '../src/index.js'

/** A clock whose timers fire late, as those of a process that is short of processor time. */
class LateClock extends ManualClock {
  lateMs = 0

  override sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    return super.sleep(durationMs + this.lateMs, signal)
  }
}

function startWatch() {
  const clock = new LateClock()
  const metrics = new MetricsRegistry()
  const lines: LogEvent[] = []
  const note = (event: LogEvent): void => {
    lines.push(event)
  }
  const logger: Logger = { debug: note, info: note, warn: note, error: note }
  const stopping = new AbortController()
  void new LoopWatch({ clock, logger, metrics }).run(stopping.signal)
  const stop = (): void => {
    stopping.abort()
  }
  return { clock, metrics, lines, stop }
}

test('a loop whose timers fire late is logged once in two seconds, with its work', async (t) => {
  const { clock, metrics, lines, stop } = startWatch()
  clock.lateMs = 150
  await clock.advance(200)
  measureWork({ clock, metrics }, 'round', () => undefined)
  metrics.count('work_ms_total{kind="apply"}', 40)
  await clock.advance(2300)
  stop()
  t.is(lines.length, 1)
  t.like(lines[0], { event: 'loop.late', maxLateMs: 150, roundMs: 0, applyMs: 40, gcMs: 0 })
  t.true(metrics.quantileMs('event_loop_late_ms', 0.99) >= 149)
})

test('a loop whose timers fire in time writes no line', async (t) => {
  const { clock, lines, stop } = startWatch()
  await clock.advance(6000)
  stop()
  t.deepEqual(lines, [])
})

test('work that throws is counted too', (t) => {
  const clock = new ManualClock()
  const metrics = new MetricsRegistry()
  const fail = (): never => {
    throw new Error('a fault')
  }
  t.throws(() => measureWork({ clock, metrics }, 'apply', fail))
  t.true(metrics.render().includes('work_ms_total{kind="apply"} 0'))
})
