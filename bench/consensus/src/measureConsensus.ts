/** All figures of agreement: those over three processes on loopback, and the recovery of one instance. */
import { TrialCluster } from '@nettlespur/daemons.trial'
import { ControlCaller } from './controlCaller.js'
import type { FigureRow } from './figureRow.js'
import { measureCommits } from './measureCommits.js'
import { measureFailover } from './measureFailover.js'
import { measureRecovery } from './measureRecovery.js'

export async function measureConsensus(): Promise<FigureRow[]> {
  const cluster = await TrialCluster.start({ controls: 3, entries: 0, upstreams: 0 })
  const caller = new ControlCaller(cluster)
  try {
    return [
      ...(await measureCommits(caller)),
      ...(await measureFailover(cluster, caller)),
      ...(await measureRecovery()),
    ]
  } finally {
    caller.close()
    await cluster.close()
  }
}
