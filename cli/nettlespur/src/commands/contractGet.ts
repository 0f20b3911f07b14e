/** `nettlespur contract get WORKSPACE` */
import { contractViewSchema } from '@nettlespur/control.api'
import { createCliCommand } from '../cliCommand.js'
import { Cluster } from '../cluster.js'
import { commonArgs } from '../commonArgs.js'
import { formatContract } from '../formatContract.js'
import { printAnswer } from '../printAnswer.js'

export const contractGetCommand = createCliCommand({
  name: 'get',
  description: 'Show one contract, its revision and the entries where it is in force',
  args: {
    workspace: { type: 'positional', description: 'Workspace of the contract', required: true },
    ...commonArgs,
  },
  examples: ['nettlespur contract get demo', 'nettlespur contract get demo --json'],
  run: async ({ args }) => {
    const cluster = new Cluster(args)
    const path = `/v1/contracts/${encodeURIComponent(args.workspace)}`
    const answer = await cluster.callFor(contractViewSchema, { method: 'GET', path })
    printAnswer(cluster, answer, formatContract)
  },
})
