/** A run as it begins: what it has to do, and how and when it will end if nothing else ends it. */
import { createRunTrack } from '@nettlespur/batch.sessions'
import { isSuspectTask, type BatchState, type Placement } from '@nettlespur/batch.state'
import type { SeededRandom } from '@nettlespur/bench.placement'
import type { CrowdedDay, DayJob } from './crowdedDay.js'
import { isFailing, type PlayedRun } from './playedRun.js'

/** From a placement to the task at work, and from a stop to its end: a commit, a call, an answer. */
export const orderMs = 40
/** On an upstream that fails what it starts. */
const failsAfterMs = 200
const wholePercent = 100

export interface CreatePlayedRunOptions {
  day: CrowdedDay
  random: SeededRandom
  state: BatchState
  job: DayJob | undefined
  placement: Placement
  /** How many times as long as in the right place it takes. */
  times: number
  nowMs: number
}

export function createPlayedRun(opts: CreatePlayedRunOptions): PlayedRun {
  const { day, random, state, job, placement, times, nowMs } = opts
  const { jobId, step, index, upstreamId } = placement
  const checkpoint = state.jobs.get(jobId)?.steps[step]?.tasks[index]?.checkpoint ?? ''
  const resumedAt = checkpoint === '' ? 0 : Math.min(1, Number(checkpoint))
  const lengthMs = Math.max(1, (job?.runTimesMs[step] ?? 0) * times)
  const doneMs = resumedAt * lengthMs
  const isDoomed = isFailing(day.troubles, upstreamId, nowMs)
  const fails = isDoomed || random.chance(job?.kind.failingShare ?? 0)
  const failsAtMs = doneMs + (isDoomed ? failsAfterMs : random.next() * (lengthMs - doneMs))
  const startsAtMs = nowMs + orderMs
  const record = state.jobs.get(jobId)
  const isOnTrial = record !== undefined && isSuspectTask(record, placement)
  const track = createRunTrack({
    placement,
    phase: 'settled',
    startedAtMs: startsAtMs,
    isOnTrial,
  })
  track.progressPercent = Math.floor(wholePercent * resumedAt)
  track.checkpoint = checkpoint
  return {
    placement,
    resumedAt,
    lengthMs,
    startsAtMs,
    doneMs,
    outcome: fails ? 'failed' : 'done',
    endsAtDoneMs: fails ? Math.min(lengthMs, failsAtMs) : lengthMs,
    stopAtMs: undefined,
    isCrashing: day.troubles.crashingJobs.has(jobId),
    track,
  }
}
