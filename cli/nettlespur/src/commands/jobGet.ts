/** `nettlespur job get JOB --workspace WORKSPACE` */
import { jobViewSchema } from '@nettlespur/api.schemas'
import { createCliCommand } from '../cliCommand.js'
import { Cluster } from '../cluster.js'
import { formatJob } from '../formatJob.js'
import { createJobCall, jobArgs } from '../jobArgs.js'
import { printAnswer } from '../printAnswer.js'

export const jobGetCommand = createCliCommand({
  name: 'get',
  description: 'Show one job as it stands',
  args: jobArgs,
  examples: ['nettlespur job get JOB --workspace demo'],
  run: async ({ args }) => {
    const cluster = new Cluster(args)
    const answer = await cluster.callFor(jobViewSchema, createJobCall(args, 'GET'))
    printAnswer(cluster, answer, formatJob)
  },
})
