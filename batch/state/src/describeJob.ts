/** Maps a job record to the job state that the API reports. */
import type { JobState } from '@nettlespur/batch.model'
import type { JobRecord } from './records.js'

/** `hasBegun`: whether any task of the job has begun. */
export function describeJob({ status }: JobRecord, hasBegun: boolean): JobState {
  if (status !== 'active') return status
  return hasBegun ? 'running' : 'queued'
}
