/** Jobs that ended so long ago that nobody asks for them any more. */
import type { BatchState } from '@nettlespur/batch.state'
import type { JobClock } from './jobClock.js'

export function listEndedJobs(
  { jobs }: BatchState,
  jobClock: JobClock,
  nowMs: number,
  keepMs: number,
): string[] {
  const old: string[] = []
  for (const [jobId, endedAtMs] of jobClock.endedAtMs) {
    if (!jobs.has(jobId)) jobClock.forget(jobId)
    else if (nowMs - endedAtMs >= keepMs) old.push(jobId)
  }
  return old
}
