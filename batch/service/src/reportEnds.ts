/** Logs and counts runs that ended, and the jobs that ended with them. */
import { runFields, type RunRef } from '@nettlespur/batch.model'
import {
  countCrashes,
  isHeldBack,
  listSilences,
  type BatchState,
  type JobRecord,
  type RunEnd,
} from '@nettlespur/batch.state'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import type { JobClock } from './jobClock.js'

export interface ReportJobEndsOptions {
  logger: Logger
  metrics: MetricsRegistry
  /** Jobs that were active before the change was committed. */
  jobs: readonly JobRecord[]
  jobClock: JobClock
  nowMs: number
}

export interface ReportEndsOptions extends ReportJobEndsOptions {
  ends: readonly RunEnd[]
}

/** Lists the jobs of these runs that are still active. */
export function listActiveJobs({ jobs }: BatchState, runs: readonly RunRef[]): JobRecord[] {
  const jobIds = new Set(runs.map(({ jobId }) => jobId))
  return [...jobIds].flatMap((jobId) => {
    const job = jobs.get(jobId)
    return job?.status === 'active' ? [job] : []
  })
}

/** Call it once the ends are committed. */
export function reportEnds(opts: ReportEndsOptions): void {
  const { logger, metrics, ends } = opts
  for (const end of ends) {
    const { upstreamId, outcome, blame } = end
    logger.info({ event: 'run.ended', ...runFields(end), upstreamId, outcome, blame })
    metrics.count(`runs_${outcome}_total`)
  }
  reportHeldBack(opts)
  reportJobEnds(opts)
}

/** Call it once a change is committed that may have ended the jobs. */
export function reportJobEnds({
  logger,
  metrics,
  jobs,
  jobClock,
  nowMs,
}: ReportJobEndsOptions): void {
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

/** Tells which tasks of the ends wait until it is known what became of silent upstreams. */
function reportHeldBack({ logger, metrics, ends, jobs }: ReportEndsOptions): void {
  const active = new Map(jobs.map((job) => [job.request.jobId, job]))
  for (const end of ends) {
    const job = active.get(end.jobId)
    const task = job?.steps[end.step]?.tasks[end.index]
    if (job?.status !== 'active' || task?.phase !== 'waiting' || !isHeldBack(task)) continue
    const silentUpstreams = listSilences(task).map(({ upstreamId }) => upstreamId)
    const { crashes = 0 } = countCrashes(task) ?? {}
    logger.warn({ event: 'task.held-back', ...runFields(end), crashes, silentUpstreams })
    metrics.count('tasks_held_back_total')
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
    ...(task && countCrashes(task)),
    silences: task && listSilences(task).length,
  }
}
