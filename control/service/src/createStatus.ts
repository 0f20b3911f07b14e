/** Creates the cluster status that operators see. */
import type { ClusterStatus } from '@nettlespur/control.api'
import type { LeaderSession } from './leaderSession.js'
import type { ControlNodeOptions } from './nodeOptions.js'

export function createStatus(opts: ControlNodeOptions, session: LeaderSession): ClusterStatus {
  const { term, commitIndex, snapshotAgeMs, members } = opts.log.describe()
  return {
    leaderId: opts.instanceId,
    term,
    commitIndex,
    ...(snapshotAgeMs === undefined ? {} : { snapshotAgeMs }),
    members: [...members],
    entries: session.entries.listPositions(),
    upstreams: session.upstreams.list(),
    jobs: countJobs(opts),
  }
}

function countJobs({ holder }: ControlNodeOptions): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const { state } of [...holder.state.listLiveJobs(), ...holder.state.listEndedJobs()]) {
    counts[state] = (counts[state] ?? 0) + 1
  }
  return counts
}
