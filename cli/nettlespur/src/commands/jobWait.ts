/** `nettlespur job wait JOB --workspace WORKSPACE` */
import { jobViewSchema } from '@nettlespur/api.schemas'
import { createCliCommand } from '../cliCommand.js'
import { Cluster } from '../cluster.js'
import { formatJob } from '../formatJob.js'
import { callForOutcome, createJobCall, jobArgs, type JobArgValues } from '../jobArgs.js'
import { createNotEndedError } from '../notEndedError.js'
import { printAnswer } from '../printAnswer.js'
import { readCount } from '../readArgs.js'

const longestCallWaitMs = 20_000
const defaultWaitMs = 600_000
/** Between two asks, as an entry about to stop answers at once. */
const pauseMs = 250

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
    await waitForEnd(cluster, args, readCount('--wait-ms', args['wait-ms']))
    const answer = await cluster.callFor(jobViewSchema, createJobCall(args, 'GET'))
    printAnswer(cluster, answer, formatJob)
  },
})

/** Errors: throws `outcome-unknown` where the job has not ended in time. */
async function waitForEnd(cluster: Cluster, args: JobArgValues, waitMs: number): Promise<void> {
  const deadlineMs = cluster.clock.monotonicMs() + waitMs
  for (;;) {
    const remainingMs = Math.max(0, Math.ceil(deadlineMs - cluster.clock.monotonicMs()))
    const callWaitMs = Math.min(remainingMs, longestCallWaitMs)
    const { value } = await callForOutcome(cluster, args, callWaitMs)
    if ('parts' in value) return
    if (remainingMs <= longestCallWaitMs) throw createNotEndedError(value, waitMs)
    await cluster.clock.sleep(pauseMs)
  }
}
