/** `nettlespur member add MEMBER` */
import { addressSchema, identifierSchema } from '@nettlespur/api.schemas'
import { createCliCommand } from '../cliCommand.js'
import { Cluster } from '../cluster.js'
import { commonArgs } from '../commonArgs.js'
import { printText } from '../output.js'
import { readAs } from '../readArgs.js'

export const memberAddCommand = createCliCommand({
  name: 'add',
  description: 'Add a control instance; it counts once it has caught up',
  args: {
    member: { type: 'positional', description: 'Id of the member', required: true },
    'peer-address': {
      type: 'string',
      description: 'IP number and port of its peer side',
      required: true,
      valueHint: 'IP:PORT',
    },
    'data-centre': {
      type: 'string',
      description: 'Data centre it is in',
      required: true,
      valueHint: 'NAME',
    },
    ...commonArgs,
  },
  examples: ['nettlespur member add control-4 --peer-address 127.0.0.1:7604 --data-centre dc-2'],
  run: async ({ args }) => {
    const json = {
      memberId: readAs('MEMBER', identifierSchema, args.member),
      peerAddress: readAs('--peer-address', addressSchema, args['peer-address']),
      dataCentre: readAs('--data-centre', identifierSchema, args['data-centre']),
    }
    const cluster = new Cluster(args)
    const answer = await cluster.call({ method: 'POST', path: '/v1/members', json })
    printText(cluster.json ? answer.body.toString('utf8') : `member ${json.memberId} is accepted`)
  },
})
