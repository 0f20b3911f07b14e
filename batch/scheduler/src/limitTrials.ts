/**
 * Limits how many tasks of a step start while some are suspected of crashing their upstreams. All tasks of a step run
 * the same program, so if one is harmful the others may be too: they start one, two, four and so on at a time, as
 * earlier ones are proven. Otherwise a step of many such tasks would crash as many upstreams at once.
 */
import {
  isHeldBack,
  isSuspectTask,
  type JobRecord,
  type Placement,
  type StepRecord,
  type TaskRecord,
} from '@nettlespur/batch.state'

export interface LimitTrialsOptions {
  job: JobRecord
  stepNumber: number
  record: StepRecord
  /** Indexes of the waiting tasks. */
  waiting: readonly number[]
  isProven: (run: Placement) => boolean
}

export interface TrialLimit {
  /** Indexes of suspected tasks that may start now, each on trial. */
  readonly suspects: readonly number[]
  /** Indexes of other tasks that may start now. */
  readonly others: readonly number[]
}

export function limitTrials(opts: LimitTrialsOptions): TrialLimit {
  const { job, stepNumber, record, waiting } = opts
  const isSuspect = (index: number): boolean => isSuspectTask(job, { step: stepNumber, index })
  if (!record.tasks.some(({ crashes, losses }) => (losses ?? crashes) !== undefined)) {
    return { suspects: [], others: waiting }
  }
  const { provenCount, startingCount, hasOpenTrial } = countStarted(opts, isSuspect)
  const suspects = waiting.filter(isSuspect)
  const others = waiting.filter((index) => !isSuspect(index))
  const heldBackCount = record.tasks.filter(isWaitingHeldBack).length
  if (suspects.length === 0 && !hasOpenTrial && heldBackCount === 0) return { suspects, others }
  // A task that is held back counts as a trial that has not ended.
  const allowed = Math.max(0, Math.max(1, provenCount) - startingCount - heldBackCount)
  return {
    suspects: suspects.slice(0, allowed),
    others: others.slice(0, Math.max(0, allowed - suspects.length)),
  }
}

function isWaitingHeldBack(task: TaskRecord): boolean {
  return task.phase === 'waiting' && isHeldBack(task)
}

interface StartedCounts {
  /** Number of tasks that are done or proven. */
  readonly provenCount: number
  /** Number of started tasks that are not proven yet. */
  readonly startingCount: number
  /** At least one of the tasks counted in `startingCount` is suspected. */
  readonly hasOpenTrial: boolean
}

function countStarted(
  { job, stepNumber, record, isProven }: LimitTrialsOptions,
  isSuspect: (index: number) => boolean,
): StartedCounts {
  let provenCount = 0
  let startingCount = 0
  let hasOpenTrial = false
  const { jobId } = job.request
  for (const [index, { phase, attempt, upstreamId }] of record.tasks.entries()) {
    if (phase === 'waiting') continue
    const run = { jobId, step: stepNumber, index, attempt, upstreamId: upstreamId ?? '' }
    if (phase === 'done' || isProven(run)) {
      provenCount += 1
      continue
    }
    startingCount += 1
    hasOpenTrial ||= isSuspect(index)
  }
  return { provenCount, startingCount, hasOpenTrial }
}
