/** `nettlespur job cancel JOB --workspace WORKSPACE` */
import { jobViewSchema } from '@nettlespur/api.schemas'
import { createCliCommand } from '../cliCommand.js'
import { Cluster } from '../cluster.js'
import { formatJob } from '../formatJob.js'
import { createJobCall, jobArgs } from '../jobArgs.js'
import { printAnswer } from '../printAnswer.js'

export const jobCancelCommand = createCliCommand({
  name: 'cancel',
  description: 'Ask for the end of a job; it may still be stopping',
  args: jobArgs,
  examples: ['nettlespur job cancel JOB --workspace demo'],
  run: async ({ args }) => {
    const cluster = new Cluster(args)
    const answer = await cluster.callFor(jobViewSchema, createJobCall(args, 'DELETE'))
    printAnswer(cluster, answer, formatJob)
  },
})
