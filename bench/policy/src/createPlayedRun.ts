/** A run as it begins: what it has to do, and how and when it will end if nothing else ends it. */
import { createRunTrack } from '@nettlespur/batch.sessions'
import { isSuspectTask, type BatchState, type Placement } from '@nettlespur/batch.state'
import type { SeededRandom } from '@nettlespur/bench.placement'
import { orderMs, type CrowdedDay } from './crowdedDay.js'
import type { DayJob } from './dayJob.js'
import { isFailing, type PlayedRun } from './playedRun.js'
import type { PlayedSpeeds } from './playedSpeeds.js'

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
  speeds: PlayedSpeeds
}

export function createPlayedRun(opts: CreatePlayedRunOptions): PlayedRun {
  const { day, random, state, job, placement, times, nowMs } = opts
  const { jobId, step, index, upstreamId } = placement
  const checkpoint = state.jobs.get(jobId)?.steps[step]?.tasks[index]?.checkpoint ?? ''
  const resumedAt = checkpoint === '' ? 0 : Math.min(1, Number(checkpoint))
  const taskTimes = job?.taskTimes?.[step]?.[index] ?? 1
  const lengthMs = Math.max(1, (job?.runTimesMs[step] ?? 0) * taskTimes * times)
  const doneMs = resumedAt * lengthMs
  const isDoomed = isFailing(day.troubles, upstreamId, nowMs)
  const fails = isDoomed || random.chance(measureFailingShare(job, step))
  const failsAtMs = doneMs + (isDoomed ? failsAfterMs : random.next() * (lengthMs - doneMs))
  const startsAtMs = nowMs + orderMs + (checkpoint === '' ? 0 : day.restoreMs)
  const record = state.jobs.get(jobId)
  const isOnTrial = record !== undefined && isSuspectTask(record, placement)
  const track = createRunTrack({
    placement,
    phase: 'settled',
    startedAtMs: startsAtMs,
    isOnTrial,
    pace: opts.speeds.createMeter(checkpoint !== ''),
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

/** The chance that one run fails by its own fault. */
function measureFailingShare(job: DayJob | undefined, step: number): number {
  if (job === undefined) return 0
  const { failingShare, failsAsGang } = job.kind
  const { isGang, taskCount } = job.request.steps[step] ?? { isGang: false, taskCount: 1 }
  if (!isGang || failsAsGang !== true) return failingShare
  return 1 - (1 - failingShare) ** (1 / taskCount)
}
