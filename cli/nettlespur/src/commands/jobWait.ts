/** `nettlespur job wait JOB --workspace WORKSPACE` */
import { jobViewSchema } from '@nettlespur/api.schemas'
import { createCliCommand } from '../cliCommand.js'
import { Cluster } from '../cluster.js'
import { formatJob } from '../formatJob.js'
import { createJobCall, jobArgs } from '../jobArgs.js'
import { printAnswer } from '../printAnswer.js'
import { readCount } from '../readArgs.js'
import { defaultWaitMs, waitForAnswer } from '../waitForAnswer.js'

export const jobWaitCommand = createCliCommand({
  name: 'wait',
  description: 'Wait until a job has its answer; a failed or cancelled one is an error',
  args: {
    ...jobArgs,
    'wait-ms': {
      type: 'string',
      description: 'How long to wait in all, in milliseconds',
      default: String(defaultWaitMs),
      valueHint: 'N',
    },
  },
  examples: ['nettlespur job wait JOB --workspace demo --wait-ms 60000'],
  run: async ({ args }) => {
    const cluster = new Cluster(args)
    await waitForAnswer(cluster, args, readCount('--wait-ms', args['wait-ms']))
    const answer = await cluster.callFor(jobViewSchema, createJobCall(args, 'GET'))
    printAnswer(cluster, answer, formatJob)
  },
})
