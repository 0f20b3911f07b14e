/** `nettlespur upstream list` */
import { upstreamViewSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'
import { createCliCommand } from '../cliCommand.js'
import { Cluster } from '../cluster.js'
import { commonArgs } from '../commonArgs.js'
import { formatUpstreams } from '../formatUpstreams.js'
import { printAnswer } from '../printAnswer.js'

const upstreamListSchema = z.object({ upstreams: z.array(upstreamViewSchema) })

export const upstreamListCommand = createCliCommand({
  name: 'list',
  description: 'List the upstreams that have announced themselves',
  args: commonArgs,
  examples: ['nettlespur upstream list'],
  run: async ({ args }) => {
    const cluster = new Cluster(args)
    const call = { method: 'GET', path: '/v1/upstreams' } as const
    const answer = await cluster.callFor(upstreamListSchema, call)
    printAnswer(cluster, answer, ({ upstreams }) => formatUpstreams(upstreams))
  },
})
