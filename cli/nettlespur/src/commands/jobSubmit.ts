/** `nettlespur job submit` */
import { randomUUID } from 'node:crypto'
import { jobViewSchema } from '@nettlespur/api.schemas'
import type { z } from 'zod'
import { createCliCommand } from '../cliCommand.js'
import { Cluster } from '../cluster.js'
import { commonArgs } from '../commonArgs.js'
import { jobRequestArgs, readJobRequest } from '../jobRequestArgs.js'
import { formatAnswer } from '../formatAnswer.js'
import { printNote } from '../output.js'
import { printAnswer } from '../printAnswer.js'
import { addResendHint } from '../resendHint.js'
import { defaultWaitMs, waitForAnswer } from '../waitForAnswer.js'

const submittedSchema = jobViewSchema.pick({ jobId: true, state: true })

export const jobSubmitCommand = createCliCommand({
  name: 'submit',
  description: 'Submit a gang job, by options or by a file in YAML or JSON',
  args: {
    ...jobRequestArgs,
    wait: { type: 'boolean', description: 'Wait for the job to end and print its whole answer' },
    ...commonArgs,
  },
  examples: [
    'nettlespur job submit --workspace demo --accelerators 4 --adjacency rack --repeatable',
    'nettlespur job submit --file job.yaml --job-key march-2026',
  ],
  run: async ({ args }) => {
    const asked = readJobRequest(args)
    const jobKey = asked.jobKey ?? randomUUID()
    const cluster = new Cluster(args)
    if (asked.jobKey === undefined) printNote({ jobKey })
    const call = { method: 'POST', path: '/v1/jobs', json: { ...asked, jobKey } } as const
    const answer = await cluster.callFor(submittedSchema, call).catch((thrown: unknown) => {
      const again = `the job may be accepted; submit the same again with --job-key ${jobKey}`
      throw addResendHint(thrown, again)
    })
    if (args.wait !== true) {
      printAnswer(cluster, answer, formatSubmitted)
      return
    }
    const { jobId } = answer.value
    printNote({ jobId })
    const job = { job: jobId, workspace: asked.workspace }
    printAnswer(cluster, await waitForAnswer(cluster, job, defaultWaitMs), formatAnswer)
  },
})

function formatSubmitted(submitted: z.infer<typeof submittedSchema>): string {
  return `job ${submitted.jobId} ${submitted.state}`
}
