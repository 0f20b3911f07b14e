/** `nettlespur request send` */
import { randomUUID } from 'node:crypto'
import { idempotencyKeySchema, requestHeaders } from '@nettlespur/api.schemas'
import { createCliCommand } from '../cliCommand.js'
import { Cluster } from '../cluster.js'
import { commonArgs, workspaceArg } from '../commonArgs.js'
import { printBytes, printNote } from '../output.js'
import { readAs, readCount, readFileOf } from '../readArgs.js'
import { addResendHint } from '../resendHint.js'
import { createUsageError } from '../usageError.js'

export const requestSendCommand = createCliCommand({
  name: 'send',
  description: 'Send one short request and print its whole answer',
  args: {
    workspace: workspaceArg,
    body: { type: 'string', description: 'What to send', valueHint: 'TEXT' },
    'body-file': { type: 'string', description: 'File to send', valueHint: 'FILE' },
    'request-key': {
      type: 'string',
      description: 'Finds the same request again when it is resent; random where absent',
      valueHint: 'KEY',
    },
    repeatable: { type: 'boolean', description: 'It may run more than once' },
    'deadline-ms': {
      type: 'string',
      description: 'When the answer is of no more use, in milliseconds from now',
      valueHint: 'N',
    },
    ...commonArgs,
  },
  examples: [
    'nettlespur request send --workspace demo --body hello --repeatable',
    'nettlespur request send --workspace demo --body-file span.json --request-key span-17',
  ],
  run: async ({ args }) => {
    const body = readBody(args.body, args['body-file'])
    const given = args['request-key']
    const key = readAs('--request-key', idempotencyKeySchema, given ?? randomUUID())
    const deadlineMs = args['deadline-ms']
    if (deadlineMs !== undefined) readCount('--deadline-ms', deadlineMs, { least: 1 })
    const cluster = new Cluster(args)
    if (given === undefined) printNote({ requestKey: key })
    const headers = {
      [requestHeaders.workspace]: args.workspace,
      [requestHeaders.key]: key,
      [requestHeaders.repeatable]: String(args.repeatable === true),
      ...(deadlineMs === undefined ? {} : { [requestHeaders.deadlineMs]: deadlineMs }),
    }
    const call = { method: 'POST', path: '/v1/requests', headers, body } as const
    const answer = await cluster.call(call).catch((thrown: unknown) => {
      const again = `it may have run; send the same again with --request-key ${key}`
      throw addResendHint(thrown, again)
    })
    printBytes(answer.body)
  },
})

function readBody(text: string | undefined, file: string | undefined): Buffer {
  if (text !== undefined && file !== undefined) {
    throw createUsageError('--body and --body-file exclude each other')
  }
  return file === undefined ? Buffer.from(text ?? '') : readFileOf('--body-file', file)
}
