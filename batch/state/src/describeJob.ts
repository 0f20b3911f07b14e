/** Maps a job record to the job state that the API reports. */
import type { JobState } from '@nettlespur/batch.model'
import type { JobRecord } from './records.js'

export function describeJob({ status, hasStarted }: JobRecord): JobState {
  if (status !== 'active') return status
  return hasStarted ? 'running' : 'queued'
}
