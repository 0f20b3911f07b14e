/** `nettlespur job answer JOB --workspace WORKSPACE` */
import { createCliCommand } from '../cliCommand.js'
import { Cluster } from '../cluster.js'
import { formatAnswer } from '../formatAnswer.js'
import { callForOutcome, jobArgs } from '../jobArgs.js'
import { createNotEndedError } from '../notEndedError.js'
import { printAnswer } from '../printAnswer.js'
import { readCount } from '../readArgs.js'

export const jobAnswerCommand = createCliCommand({
  name: 'answer',
  description: 'Print the whole answer of a job that has finished',
  args: {
    ...jobArgs,
    'wait-ms': {
      type: 'string',
      description: 'How long to wait for the job to end, in milliseconds',
      default: '0',
      valueHint: 'N',
    },
  },
  examples: ['nettlespur job answer JOB --workspace demo --wait-ms 10000'],
  run: async ({ args }) => {
    const cluster = new Cluster(args)
    const waitMs = readCount('--wait-ms', args['wait-ms'])
    const { value, ...answer } = await callForOutcome(cluster, args, waitMs)
    if (!('parts' in value)) throw createNotEndedError(value, waitMs)
    printAnswer(cluster, { ...answer, value }, formatAnswer)
  },
})
