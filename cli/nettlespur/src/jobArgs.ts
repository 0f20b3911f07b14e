/** Arguments and calls that the commands on one job share. */
import { jobAnswerSchema, jobViewSchema, requestHeaders } from '@nettlespur/api.schemas'
import { z } from 'zod'
import type { Cluster, ClusterAnswer, ClusterCall } from './cluster.js'
import { commonArgs, workspaceArg } from './commonArgs.js'

export const jobArgs = {
  job: { type: 'positional', description: 'Id of the job', required: true },
  workspace: workspaceArg,
  ...commonArgs,
} as const

export interface JobArgValues {
  readonly job: string
  readonly workspace: string
}

/** The whole answer of a job that has finished, or the job as it stands. */
export const jobOutcomeSchema = z.union([jobAnswerSchema, jobViewSchema])
export type JobOutcome = z.infer<typeof jobOutcomeSchema>

export function createJobCall(
  args: JobArgValues,
  method: 'GET' | 'DELETE',
  rest = '',
): ClusterCall {
  return {
    method,
    path: `/v1/jobs/${encodeURIComponent(args.job)}${rest}`,
    headers: { [requestHeaders.workspace]: args.workspace },
  }
}

/** Waits up to `waitMs` for the job to end. */
export function callForOutcome(
  cluster: Cluster,
  args: JobArgValues,
  waitMs: number,
): Promise<ClusterAnswer<JobOutcome>> {
  const call = createJobCall(args, 'GET', `/answer?waitMs=${waitMs}`)
  return cluster.callFor(jobOutcomeSchema, { ...call, waitMs })
}
