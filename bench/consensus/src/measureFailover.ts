/** From the death of the leader to the first change that another one has committed. */
import type { TrialCluster } from '@nettlespur/daemons.trial'
import type { ControlCaller } from './controlCaller.js'
import type { FigureRow } from './figureRow.js'

const leadersKilled = 5

export async function measureFailover(
  cluster: TrialCluster,
  caller: ControlCaller,
): Promise<FigureRow[]> {
  const durationsMs: number[] = []
  for (let killed = 0; killed < leadersKilled; killed++) {
    durationsMs.push(await killLeader(cluster, caller))
  }
  durationsMs.sort((left, right) => left - right)
  const median = durationsMs[Math.floor(leadersKilled / 2)] ?? NaN
  return [
    { name: 'consensus-failover-median', value: median, unit: 'ms' },
    { name: 'consensus-failover-max', value: durationsMs.at(-1) ?? NaN, unit: 'ms' },
  ]
}

async function killLeader(cluster: TrialCluster, caller: ControlCaller): Promise<number> {
  const leaderId = await caller.awaitLeader()
  const leader = cluster.controls.find((control) => control.id === leaderId)
  if (leader === undefined) throw new Error(`no control ${leaderId}`)
  await caller.change('failover')
  await leader.process.kill()
  const startMs = caller.clock.monotonicMs()
  await caller.changeAtLast('failover')
  const durationMs = caller.clock.monotonicMs() - startMs
  await cluster.restart('control', leader)
  return durationMs
}
