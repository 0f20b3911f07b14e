/** `nettlespur contract list` */
import { contractViewSchema, type ContractView } from '@nettlespur/control.api'
import { z } from 'zod'
import { createCliCommand } from '../cliCommand.js'
import { Cluster } from '../cluster.js'
import { commonArgs } from '../commonArgs.js'
import { formatTable } from '../formatTable.js'
import { printAnswer } from '../printAnswer.js'

const contractListSchema = z.object({ contracts: z.array(contractViewSchema) })
const headings = ['WORKSPACE', 'REVISION', 'WEIGHT', 'GUARANTEES', 'IN FORCE AT', 'NOT YET AT']

export const contractListCommand = createCliCommand({
  name: 'list',
  description: 'List all contracts with their revisions',
  args: commonArgs,
  examples: ['nettlespur contract list'],
  run: async ({ args }) => {
    const cluster = new Cluster(args)
    const call = { method: 'GET', path: '/v1/contracts' } as const
    const answer = await cluster.callFor(contractListSchema, call)
    printAnswer(cluster, answer, ({ contracts }) => formatContracts(contracts))
  },
})

function formatContracts(contracts: readonly ContractView[]): string {
  const rows = contracts.map((view) => [
    view.contract.workspace,
    view.revision,
    view.contract.weight,
    view.contract.guarantees.length,
    `${view.inForceAt.length} entries`,
    `${view.notYetInForceAt.length} entries`,
  ])
  return formatTable(headings, rows)
}
