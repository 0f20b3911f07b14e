/** What a day that was played is worth, and what it cost. */
import type { BatchState } from '@nettlespur/batch.state'
import type { CrowdedDay } from './crowdedDay.js'
import type { DayJob } from './dayJob.js'
import type { HeldUpSpell, HeldUpWatch } from './heldUpWatch.js'
import { judgeDay, type DayVerdict, type JobOutcome } from './judgeDay.js'
import type { PlayedRuns } from './playedRuns.js'
import { earn, sumEarnings, type KindEarnings } from './sumEarnings.js'

export interface DayResult {
  /** By kind of job. */
  readonly kinds: ReadonlyMap<string, KindEarnings>
  /** Earned by all jobs, as a share of what they could. */
  readonly worth: number
  /** What the day is worth by the deployment's goal. */
  readonly verdict: DayVerdict
  /** Urgent jobs that ended on time, as a share of all urgent jobs. */
  readonly urgentOnTimeShare: number
  /** Run time that no checkpoint saved, in core-seconds. */
  readonly wastedCoreSeconds: number
  /** Runs that were stopped for others. */
  readonly stoppedRuns: number
  /** Upstreams that runs brought down. */
  readonly crashes: number
  /** Jobs given up for crashes that others caused. */
  readonly givenUpSound: number
  /** Jobs that are held up as the day ends. */
  readonly heldUp: number
  /** Each time that a job was held up, at any time of the day. */
  readonly heldUpSpells: readonly HeldUpSpell[]
  /** How long each round took, the building of its view included. */
  readonly roundsMs: readonly number[]
}

export interface MeasureDayOptions {
  day: CrowdedDay
  state: BatchState
  runs: PlayedRuns
  heldUp: HeldUpWatch
  /** By job id. */
  endedAtMs: ReadonlyMap<string, number>
  roundsMs: readonly number[]
}

export function measureDay(opts: MeasureDayOptions): DayResult {
  const { day, state, heldUp, roundsMs } = opts
  const { cancelAfterMs, crashingJobs } = day.troubles
  const owed = day.jobs.filter(
    ({ request: { jobId } }) => !cancelAfterMs.has(jobId) && !crashingJobs.has(jobId),
  )
  const outcomes = owed.map((job) => judge(opts, job))
  const { wastedCoreSeconds, stoppedRuns, crashes } = opts.runs
  const verdict = judgeDay({ outcomes, goal: day.goal, wastedCoreSeconds })
  const urgent = outcomes.filter(({ job }) => job.kind.priority === 0)
  const urgentOnTime = urgent.filter(({ job, earned }) => earned === job.value)
  const givenUp = owed.filter(({ request: { jobId } }) => {
    return state.jobs.get(jobId)?.failure?.reason === 'crashes-upstreams'
  })
  return {
    kinds: sumEarnings(outcomes),
    worth: verdict.wholeDay,
    verdict,
    urgentOnTimeShare: urgentOnTime.length / urgent.length,
    wastedCoreSeconds,
    stoppedRuns,
    crashes: crashes.count,
    givenUpSound: givenUp.length,
    heldUp: heldUp.count(),
    heldUpSpells: heldUp.listSpells(),
    roundsMs,
  }
}

function judge({ state, endedAtMs }: MeasureDayOptions, job: DayJob): JobOutcome {
  const { jobId } = job.request
  const tookMs = (endedAtMs.get(jobId) ?? Infinity) - job.arriveMs
  const isCompleted = state.jobs.get(jobId)?.status === 'completed'
  const earned = earn(job, { isCompleted, tookMs })
  return { job, earned, isServed: earned > 0 }
}
