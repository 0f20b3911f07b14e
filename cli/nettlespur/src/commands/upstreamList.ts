/** `nettlespur upstream list` */
import { upstreamViewSchema } from '@nettlespur/api.schemas'
import { createCliCommand } from '../cliCommand.js'
import { Cluster } from '../cluster.js'
import { commonArgs } from '../commonArgs.js'
import { formatUpstreams } from '../formatUpstreams.js'
import { printAnswer } from '../printAnswer.js'

export const upstreamListCommand = createCliCommand({
  name: 'list',
  description: 'List the upstreams that have announced themselves',
  args: commonArgs,
  examples: ['nettlespur upstream list'],
  run: async ({ args }) => {
    const cluster = new Cluster(args)
    const call = { method: 'GET', path: '/v1/upstreams' } as const
    const answer = await cluster.callFor(upstreamViewSchema.array(), call)
    printAnswer(cluster, answer, formatUpstreams)
  },
})
