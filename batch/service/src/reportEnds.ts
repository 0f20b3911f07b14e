/** Logs and counts runs that ended, and the jobs that ended with them. */
import { runFields } from '@nettlespur/batch.model'
import type { BatchState, JobRecord, RunEnd } from '@nettlespur/batch.state'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import type { JobClock } from './jobClock.js'

export interface ReportEndsOptions {
  logger: Logger
  metrics: MetricsRegistry
  ends: readonly RunEnd[]
  /** Jobs of these runs that were active before the ends were committed. */
  jobs: readonly JobRecord[]
  jobClock: JobClock
  nowMs: number
}

/** Lists the jobs of these runs that are still active. */
export function listActiveJobs({ jobs }: BatchState, ends: readonly RunEnd[]): JobRecord[] {
  const jobIds = new Set(ends.map(({ jobId }) => jobId))
  return [...jobIds].flatMap((jobId) => {
    const job = jobs.get(jobId)
    return job?.status === 'active' ? [job] : []
  })
}

/** Call it once the ends are committed. */
export function reportEnds({
  logger,
  metrics,
  ends,
  jobs,
  jobClock,
  nowMs,
}: ReportEndsOptions): void {
  for (const end of ends) {
    const { upstreamId, outcome, blame } = end
    logger.info({ event: 'run.ended', ...runFields(end), upstreamId, outcome, blame })
    metrics.count(`runs_${outcome}_total`)
  }
  for (const job of jobs) {
    const { status, queue } = job
    const { jobId } = job.request
    if (status === 'active' || !jobClock.noteEnded(jobId)) continue
    const tookMs = Math.round(jobClock.waitedMs(jobId, nowMs))
    logger.info({
      event: 'job.ended',
      jobId,
      queue: queue.name,
      status,
      ...describeFailure(job),
      tookMs,
    })
    metrics.count(`jobs_${status}_total`)
    metrics.recordMs('job_completion_ms', tookMs)
  }
}

/** Why the job failed, and the counts by which that was decided. */
function describeFailure({ failure, queue, steps }: JobRecord): object {
  if (failure === undefined) return {}
  const step = steps[failure.step]
  const task = step?.tasks[failure.index ?? 0]
  return {
    ...failure,
    attempt: task?.attempt,
    failures: failure.index === undefined ? step?.gangFailures : task?.failures,
    attemptsMax: queue.attemptsMax,
    ...task?.crashes,
  }
}
