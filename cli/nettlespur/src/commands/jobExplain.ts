/** `nettlespur job explain JOB --workspace WORKSPACE` */
import { jobExplanationSchema, type JobExplanation } from '@nettlespur/api.schemas'
import { createCliCommand } from '../cliCommand.js'
import { Cluster } from '../cluster.js'
import { formatJob } from '../formatJob.js'
import { createJobCall, jobArgs } from '../jobArgs.js'
import { printAnswer } from '../printAnswer.js'

export const jobExplainCommand = createCliCommand({
  name: 'explain',
  description: 'Say why a job waits, what blocks it and what was decided about it',
  args: jobArgs,
  examples: ['nettlespur job explain JOB --workspace demo'],
  run: async ({ args }) => {
    const cluster = new Cluster(args)
    const call = createJobCall(args, 'GET', '/explanation')
    const answer = await cluster.callFor(jobExplanationSchema, call)
    printAnswer(cluster, answer, formatExplanation)
  },
})

function formatExplanation(explanation: JobExplanation): string {
  const waits = explanation.waitsFor.map((reason) => `  waits for  ${reason}`)
  const decisions = explanation.decisions.map(
    ({ at, event, reason }) => `${at} ${event}: ${reason}`,
  )
  return [formatJob(explanation.job), ...waits, 'decisions:', ...decisions].join('\n')
}
