/**
 * Measures the request path on loopback, each figure with its baseline in the same run. The generator, the
 * entry and the upstreams are processes of their own; the whole run takes about 75 seconds.
 */
import { SystemClock } from '@nettlespur/core.clock'
import type { LoadTarget } from './loadTarget.js'
import { LoadTrial, slots } from './loadTrial.js'
import { runClosedLoad, runOpenLoad } from './runLoad.js'

export interface Figure {
  readonly name: string
  readonly value: number
  readonly unit: string
}

export interface MeasureRequestsOptions {
  /** Of each of the load runs, in milliseconds. */
  durationMs?: number
}

const defaultDurationMs = 4000
const shortRunMs = 100
const longRunMs = 200
const work = createWork(shortRunMs)
const nothing = createWork(0)
const calmPerSecond = 100
const smallPerSecond = 30
const floodFactor = 10
const clock = new SystemClock()

export async function measureRequests(opts: MeasureRequestsOptions = {}): Promise<Figure[]> {
  const durationMs = opts.durationMs ?? defaultDurationMs
  const trial = await LoadTrial.start(['small', 'large'])
  try {
    return [
      ...(await measureLatency(trial, durationMs)),
      ...(await measureCore(trial, durationMs)),
      ...(await measureOverload(trial, durationMs)),
      ...(await measureFlood(trial, durationMs, shortRunMs)),
      ...(await measureFlood(trial, durationMs, longRunMs)),
    ]
  } finally {
    await trial.close()
  }
}

/** What the entry adds to a call of the upstream itself. */
async function measureLatency(trial: LoadTrial, durationMs: number): Promise<Figure[]> {
  const run = (target: LoadTarget) =>
    runOpenLoad({ clock, target, durationMs, ratePerSecond: calmPerSecond })
  await run(trial.throughEntry('small', nothing))
  const direct = await run(trial.direct(nothing))
  const through = await run(trial.throughEntry('small', nothing))
  return [0.5, 0.99].map((quantile) => ({
    name: `requests.addedLatencyP${quantile * 100}`,
    value: through.latencyMs(quantile) - direct.latencyMs(quantile),
    unit: 'ms',
  }))
}

async function measureCore(trial: LoadTrial, durationMs: number): Promise<Figure[]> {
  const target = trial.throughEntry('small', nothing)
  const beforeSeconds = trial.readEntryCpuSeconds()
  const report = await runClosedLoad({ clock, target, durationMs, callers: slots })
  const cpuSeconds = trial.readEntryCpuSeconds() - beforeSeconds
  return [
    { name: 'requests.perCoreSecond', value: report.answered / cpuSeconds, unit: 'requests' },
    { name: 'requests.failedUnderClosedLoad', value: report.failed, unit: 'requests' },
  ]
}

/** Answers under overload as a share of what the upstreams answer when just kept busy. */
async function measureOverload(trial: LoadTrial, durationMs: number): Promise<Figure[]> {
  const entry = trial.throughEntry('large', work)
  const capacity = await runClosedLoad({ clock, target: entry, durationMs, callers: slots * 2 })
  const perSecond = capacity.answeredPerSecond
  const figures: Figure[] = [{ name: 'requests.capacity', value: perSecond, unit: '1/s' }]
  for (const factor of [2, floodFactor]) {
    const ratePerSecond = perSecond * factor
    const overload = await runOpenLoad({ clock, target: entry, durationMs, ratePerSecond })
    const plain = await runOpenLoad({
      clock,
      target: trial.direct(work),
      durationMs,
      ratePerSecond,
    })
    figures.push(
      ratio(`requests.goodputAt${factor}x`, overload.answeredPerSecond / perSecond),
      ratio(`requests.goodputAt${factor}x.roundRobin`, plain.answeredPerSecond / perSecond),
      { name: `requests.failedAt${factor}x`, value: overload.failed, unit: 'requests' },
    )
  }
  return figures
}

/** A small workspace beside one that floods, against the small one alone. */
async function measureFlood(
  trial: LoadTrial,
  durationMs: number,
  runTimeMs: number,
): Promise<Figure[]> {
  const work = createWork(runTimeMs)
  const each = `of${runTimeMs}ms`
  const floodPerSecond = (slots * 1000 * floodFactor) / runTimeMs
  const small = trial.throughEntry('small', work)
  const large = trial.throughEntry('large', work)
  const alone = await runSmall(small, durationMs)
  const [beside] = await Promise.all([
    runSmall(small, durationMs),
    runOpenLoad({ clock, target: large, durationMs, ratePerSecond: floodPerSecond }),
  ])
  const [plain] = await Promise.all([
    runSmall(trial.direct(work), durationMs),
    runOpenLoad({ clock, target: trial.direct(work), durationMs, ratePerSecond: floodPerSecond }),
  ])
  return [
    { name: `requests.smallP99Alone.${each}`, value: alone.latencyMs(0.99), unit: 'ms' },
    ratio(`requests.smallP99BesideFlood.${each}`, beside.latencyMs(0.99) / alone.latencyMs(0.99)),
    ratio(`requests.smallAnsweredBesideFlood.${each}`, beside.answered / beside.sent),
    ratio(`requests.smallAnsweredBesideFlood.${each}.roundRobin`, plain.answered / plain.sent),
  ]
}

function runSmall(target: LoadTarget, durationMs: number) {
  return runOpenLoad({ clock, target, durationMs, ratePerSecond: smallPerSecond })
}

function createWork(runTimeMs: number): string {
  return JSON.stringify({ runTimeMs })
}

function ratio(name: string, value: number): Figure {
  return { name, value, unit: 'ratio' }
}
