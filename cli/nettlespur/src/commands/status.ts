/** `nettlespur status` */
import { clusterStatusSchema, type ClusterStatus } from '@nettlespur/control.api'
import { createCliCommand } from '../cliCommand.js'
import { Cluster } from '../cluster.js'
import { commonArgs } from '../commonArgs.js'
import { formatMembers } from '../formatMembers.js'
import { formatTable } from '../formatTable.js'
import { formatUpstreams } from '../formatUpstreams.js'
import { printAnswer } from '../printAnswer.js'

export const statusCommand = createCliCommand({
  name: 'status',
  description: 'Show leader, members, entries, upstreams and jobs of the cluster',
  args: commonArgs,
  examples: ['nettlespur status', 'nettlespur status --json'],
  run: async ({ args }) => {
    const cluster = new Cluster(args)
    const call = { method: 'GET', path: '/v1/status' } as const
    printAnswer(cluster, await cluster.callFor(clusterStatusSchema, call), formatStatus)
  },
})

function formatStatus(status: ClusterStatus): string {
  const snapshot = status.snapshotAgeMs === undefined ? 'none' : `${status.snapshotAgeMs} ms old`
  const jobs = Object.entries(status.jobs).map(([state, count]) => `${count} ${state}`)
  const entries = status.entries.map((entry) => [entry.entryId, entry.contractIndex])
  return [
    `leader ${status.leaderId ?? 'none'}, term ${status.term}, commit index ${status.commitIndex}, snapshot ${snapshot}`,
    `jobs: ${jobs.join(', ') || 'none'}`,
    '',
    formatMembers(status.members),
    '',
    formatTable(['ENTRY', 'CONTRACT INDEX'], entries),
    '',
    formatUpstreams(status.upstreams),
  ].join('\n')
}
