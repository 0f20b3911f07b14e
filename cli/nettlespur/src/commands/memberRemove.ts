/** `nettlespur member remove MEMBER` */
import { identifierSchema } from '@nettlespur/api.schemas'
import { createCliCommand } from '../cliCommand.js'
import { Cluster } from '../cluster.js'
import { commonArgs } from '../commonArgs.js'
import { printText } from '../output.js'
import { readAs } from '../readArgs.js'

export const memberRemoveCommand = createCliCommand({
  name: 'remove',
  description: 'Remove a control instance',
  args: {
    member: { type: 'positional', description: 'Id of the member', required: true },
    ...commonArgs,
  },
  examples: ['nettlespur member remove control-2'],
  run: async ({ args }) => {
    const memberId = readAs('MEMBER', identifierSchema, args.member)
    const cluster = new Cluster(args)
    const answer = await cluster.call({ method: 'DELETE', path: `/v1/members/${memberId}` })
    printText(
      cluster.json ? answer.body.toString('utf8') : `the removal of ${memberId} is accepted`,
    )
  },
})
