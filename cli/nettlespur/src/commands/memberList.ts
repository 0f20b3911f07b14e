/** `nettlespur member list` */
import { memberViewSchema } from '@nettlespur/control.api'
import { z } from 'zod'
import { createCliCommand } from '../cliCommand.js'
import { Cluster } from '../cluster.js'
import { commonArgs } from '../commonArgs.js'
import { formatMembers } from '../formatMembers.js'
import { printAnswer } from '../printAnswer.js'

const memberListSchema = z.object({ members: z.array(memberViewSchema) })

export const memberListCommand = createCliCommand({
  name: 'list',
  description: 'List the control instances, their roles and how far they are behind',
  args: commonArgs,
  examples: ['nettlespur member list'],
  run: async ({ args }) => {
    const cluster = new Cluster(args)
    const call = { method: 'GET', path: '/v1/members' } as const
    const answer = await cluster.callFor(memberListSchema, call)
    printAnswer(cluster, answer, ({ members }) => formatMembers(members))
  },
})
