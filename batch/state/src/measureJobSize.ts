/** Measures how much memory a job takes, in sizes of one task. */
import { countTasks, type JobRequest } from '@nettlespur/batch.model'

/** What a job takes besides its tasks. */
const ownSize = 10

/** Returns the size of the job with all its tasks. */
export function measureJobSize(request: Pick<JobRequest, 'steps'>): number {
  return ownSize + countTasks(request)
}
