/** Commit latency of changes made one after the other, and changes a second alone and together. */
import { build } from 'hdr-histogram-js'
import type { ControlCaller } from './controlCaller.js'
import type { FigureRow } from './figureRow.js'

const warmUpChanges = 100
const changesOneByOne = 500
const changesTogether = 2000
const callersTogether = 32
const microsecondsPerMs = 1000
const msPerSecond = 1000

export async function measureCommits(caller: ControlCaller): Promise<FigureRow[]> {
  await caller.awaitLeader()
  for (let made = 0; made < warmUpChanges; made++) await caller.change('warm-up')
  const alone = await measureOneByOne(caller)
  const together = await measureTogether(caller)
  return [...alone.rows, together, createGain(alone.perSecond, together.value)]
}

async function measureOneByOne(caller: ControlCaller) {
  const latencies = build({ highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
  const startMs = caller.clock.monotonicMs()
  for (let made = 0; made < changesOneByOne; made++) {
    latencies.recordValue(Math.round((await caller.change('alone')) * microsecondsPerMs))
  }
  const perSecond = rate(changesOneByOne, caller.clock.monotonicMs() - startMs)
  const quantiles = [50, 99].map((percentile) => ({
    name: `consensus-commit-p${percentile}`,
    value: latencies.getValueAtPercentile(percentile) / microsecondsPerMs,
    unit: 'ms',
  }))
  const changes = { name: 'consensus-changes-one-by-one', value: perSecond, unit: 'changes/s' }
  return { rows: [...quantiles, changes], perSecond }
}

/** Many callers at once share syncs and round trips. */
async function measureTogether(caller: ControlCaller): Promise<FigureRow> {
  const startMs = caller.clock.monotonicMs()
  const changesEach = changesTogether / callersTogether
  const callers = Array.from({ length: callersTogether }, async (_, number) => {
    for (let made = 0; made < changesEach; made++) await caller.change(`together-${number}`)
  })
  await Promise.all(callers)
  const value = rate(changesTogether, caller.clock.monotonicMs() - startMs)
  return { name: `consensus-changes-${callersTogether}-callers`, value, unit: 'changes/s' }
}

function createGain(alone: number, together: number): FigureRow {
  return { name: 'consensus-group-commit-gain', value: together / alone, unit: 'ratio' }
}

function rate(changes: number, durationMs: number): number {
  return (changes / durationMs) * msPerSecond
}
