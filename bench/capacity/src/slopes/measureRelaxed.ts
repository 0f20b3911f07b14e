/**
 * What the same tasks and upstreams cost when announcements and renewals come seldom, by settings alone: a
 * point beside those of the slopes, whose daemons run with the defaults.
 */
import type { FigureRow } from '../figureRow.js'
import { Trial } from './trial.js'

const upstreams = 30
const tasks = 120
const workspace = 'measured'
const announceEveryMs = 20_000
const renewTasksEveryMs = 20_000
/** Several intervals of both. */
const windowMs = 60_000

export async function measureRelaxed(): Promise<FigureRow[]> {
  const timings = {
    renewTasksEveryMs,
    taskLeaseMs: 120_000,
    upstreamSuspectMs: 60_000,
    upstreamGoneMs: 120_000,
  }
  const trial = await Trial.start(1, {
    controlSettings: { timings },
    entrySettings: { timings: { announceEveryMs } },
  })
  try {
    await trial.putContract(workspace, 0)
    await trial.growUpstreams(upstreams)
    await trial.growJobs(workspace, tasks)
    // A gang renews at once at first, then ever more seldom up to the interval of the settings.
    await trial.clock.sleep(renewTasksEveryMs)
    const rates = await trial.measure(windowMs)
    return Object.entries(rates).flatMap(([role, rate]) => [
      { name: `capacity.relaxed.${role}.cpu`, value: rate.cpuMsPerSecond, unit: 'ms/s' },
      { name: `capacity.relaxed.${role}.bytes`, value: rate.bytesPerSecond, unit: 'bytes/s' },
      { name: `capacity.relaxed.${role}.resident`, value: rate.residentMebibytes, unit: 'MiB' },
    ])
  } finally {
    await trial.close()
  }
}
