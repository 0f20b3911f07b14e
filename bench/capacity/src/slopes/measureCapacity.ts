/**
 * What control and an entry spend against upstreams, tasks, contracts, contract changes and entries, each
 * at several sizes on the real daemons. The slopes run side by side, on a cluster each.
 */
import { maxOf } from '@nettlespur/core.lists'
import type { FigureRow } from '../figureRow.js'
import { describeSlope, type Point } from './describeSlope.js'
import { measureRelaxed } from './measureRelaxed.js'
import { Trial } from './trial.js'

const upstreamSizes = [0, 40, 80, 160] as const
const taskSizes = [0, 60, 120, 240] as const
const taskUpstreams = 30
const contractSizes = [0, 40, 85, 170] as const
const changesPerSecond = [0, 2, 4, 8] as const
const entrySizes = [1, 3, 6, 9] as const
const millisecondsPerSecond = 1000
const workspace = 'measured'

export async function measureCapacity(): Promise<readonly FigureRow[]> {
  const slopes = [
    measureUpstreams(),
    measureTasks(),
    measureContracts(),
    measureEntries(),
    measureRelaxed(),
  ]
  return (await Promise.all(slopes)).flat()
}

async function measureUpstreams(): Promise<FigureRow[]> {
  return withTrial(2, async (trial) => {
    const points = await measureEach(trial, upstreamSizes, (size) => trial.growUpstreams(size))
    return describeSlope('upstreams', 'upstream', points)
  })
}

async function measureTasks(): Promise<FigureRow[]> {
  return withTrial(1, async (trial) => {
    await trial.putContract(workspace, 0)
    await trial.growUpstreams(taskUpstreams)
    const points = await measureEach(trial, taskSizes, (size) => trial.growJobs(workspace, size))
    return describeSlope('tasks', 'task', points)
  })
}

async function measureContracts(): Promise<FigureRow[]> {
  return withTrial(2, async (trial) => {
    let held = 0
    const points = await measureEach(trial, contractSizes, async (size) => {
      for (; held < size; held++) await trial.putContract(`w${held}`, 0)
    })
    return [...describeSlope('contracts', 'contract', points), ...(await measureChanges(trial))]
  })
}

async function measureChanges(trial: Trial): Promise<FigureRow[]> {
  const points: Point[] = []
  const inForceMs: number[] = []
  let revision = 1
  for (const size of changesPerSecond) {
    const ended = new AbortController()
    const changing = size === 0 ? undefined : changeForever(size, ended.signal)
    points.push({ size, rates: await trial.measure() })
    ended.abort()
    await changing
  }
  const slowest = maxOf(inForceMs)
  const mean = inForceMs.reduce((sum, value) => sum + value, 0) / inForceMs.length
  return [
    ...describeSlope('changes', 'change', points),
    { name: 'capacity.changes.in_force.mean', value: mean, unit: 'ms' },
    { name: 'capacity.changes.in_force.slowest', value: slowest, unit: 'ms' },
    { name: 'capacity.changes.in_force.count', value: inForceMs.length, unit: 'changes' },
  ]

  async function changeForever(perSecond: number, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const pause = trial.clock.sleep(millisecondsPerSecond / perSecond)
      inForceMs.push(await trial.putContract('w0', revision++))
      await pause
    }
  }
}

async function measureEntries(): Promise<FigureRow[]> {
  const points: Point[] = []
  for (const size of entrySizes) {
    points.push(
      await withTrial(size, async (trial) => {
        return { size, rates: await trial.measure() }
      }),
    )
  }
  return describeSlope('entries', 'entry', points)
}

async function measureEach(
  trial: Trial,
  sizes: readonly number[],
  grow: (size: number) => Promise<void>,
): Promise<Point[]> {
  const points: Point[] = []
  for (const size of sizes) {
    await grow(size)
    await trial.settle()
    points.push({ size, rates: await trial.measure() })
  }
  return points
}

async function withTrial<T>(entries: number, run: (trial: Trial) => Promise<T>): Promise<T> {
  const trial = await Trial.start(entries)
  try {
    return await run(trial)
  } finally {
    await trial.close()
  }
}
