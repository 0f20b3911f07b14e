/** `nettlespur report` */
import { clusterReportSchema, type ClusterReport } from '@nettlespur/control.api'
import { createCliCommand } from '../cliCommand.js'
import { Cluster } from '../cluster.js'
import { commonArgs } from '../commonArgs.js'
import { formatTable } from '../formatTable.js'
import { printAnswer } from '../printAnswer.js'

const completionHeadings = ['COMPLETION', 'JOBS', 'MEAN MS', 'P50 MS', 'P99 MS']
const fragmentationHeadings = ['ACCELERATORS', 'ADJACENCY', 'UNUSABLE SHARE OF FREE']
const shareDigits = 3

export const reportCommand = createCliCommand({
  name: 'report',
  description: 'Show job completion times and fragmentation, by workspace and for the cluster',
  args: commonArgs,
  examples: ['nettlespur report'],
  run: async ({ args }) => {
    const cluster = new Cluster(args)
    const call = { method: 'GET', path: '/v1/report' } as const
    printAnswer(cluster, await cluster.callFor(clusterReportSchema, call), formatReport)
  },
})

function formatReport(report: ClusterReport): string {
  const { cluster, workspaces, fragmentation } = report
  const rows = [
    toRow('cluster', cluster.completion),
    ...workspaces.map(({ workspace, completion }) => toRow(`workspace ${workspace}`, completion)),
  ]
  const shapes = fragmentation.map((shape) => [
    shape.accelerators,
    shape.adjacency,
    shape.unusableShare.toFixed(shareDigits),
  ])
  return [
    formatTable(completionHeadings, rows),
    '',
    `${cluster.freeAccelerators} of ${cluster.totalAccelerators} accelerators free`,
    formatTable(fragmentationHeadings, shapes),
  ].join('\n')
}

function toRow(name: string, completion: ClusterReport['cluster']['completion']) {
  const { count, meanMs, p50Ms, p99Ms } = completion
  return [name, count, ...[meanMs, p50Ms, p99Ms].map((value) => value.toFixed(0))]
}
