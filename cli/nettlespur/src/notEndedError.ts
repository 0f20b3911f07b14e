/** The error of a wait that ended before its job. */
import type { JobView } from '@nettlespur/api.schemas'
import { NettlespurError } from '@nettlespur/core.errors'

export function createNotEndedError(job: JobView, waitMs: number): NettlespurError {
  const message = `job ${job.jobId} has no answer after ${waitMs} ms: it is ${job.state}`
  return new NettlespurError('outcome-unknown', message, {
    hint: `wait again, or see: nettlespur job explain ${job.jobId} --workspace ${job.workspace}`,
  })
}
