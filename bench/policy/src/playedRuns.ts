/** All runs of a day: they start, work at the pace of their upstreams, and end. */
import { runKey } from '@nettlespur/batch.model'
import { measureCores } from '@nettlespur/batch.scheduler'
import { blameCrash, provenAfterMs, type RunTrack } from '@nettlespur/batch.sessions'
import {
  type BatchState,
  type CrashBlame,
  type Placement,
  type RunEnd,
  type RunOutcome,
} from '@nettlespur/batch.state'
import type { SeededRandom } from '@nettlespur/bench.placement'
import { addAll, minOf } from '@nettlespur/core.lists'
import type { CrowdedDay } from './crowdedDay.js'
import type { DayJob } from './dayJob.js'
import { createPlayedRun } from './createPlayedRun.js'
import { PlayedCrashes } from './playedCrashes.js'
import { savedMsOf } from './savedMs.js'
import { isOver, measurePace, type PlayedRun } from './playedRun.js'
import type { PlayedSpeeds } from './playedSpeeds.js'

/** A task outside its data rack, or of a gang that is spread over racks, takes this many times as long. */
const remoteTimes = 3
const wholePercent = 100

export interface PlayedRunsOptions {
  day: CrowdedDay
  random: SeededRandom
  state: BatchState
  speeds: PlayedSpeeds
}

export class PlayedRuns {
  wastedCoreSeconds = 0
  stoppedRuns = 0
  readonly crashes = new PlayedCrashes()
  readonly #opts: PlayedRunsOptions
  readonly #byId: ReadonlyMap<string, DayJob>
  readonly #runs = new Map<string, PlayedRun>()

  constructor(opts: PlayedRunsOptions) {
    this.#opts = opts
    this.#byId = new Map(opts.day.jobs.map((job) => [job.request.jobId, job]))
  }

  listPlacements(): Placement[] {
    return [...this.#runs.values()].map(({ placement }) => placement)
  }

  /** Of the runs on upstreams that answer. */
  listTracks(): RunTrack[] {
    return [...this.#runs.values()].flatMap(({ track }) =>
      this.crashes.isDown(track.placement.upstreamId) ? [] : [track],
    )
  }

  isStopping(placement: Placement): boolean {
    return this.#runs.get(runKey(placement))?.stopAtMs !== undefined
  }

  findTrack(placement: Placement): RunTrack | undefined {
    return this.#runs.get(runKey(placement))?.track
  }

  hasTrial(upstreamId: string): boolean {
    if (!this.crashes.hasHappened) return false
    return this.#listUnproven(upstreamId).some(({ track }) => track.isOnTrial)
  }

  hasUnproven(upstreamId: string): boolean {
    return this.#listUnproven(upstreamId).length > 0
  }

  #listOn(upstreamId: string): PlayedRun[] {
    return [...this.#runs.values()].filter(({ placement }) => placement.upstreamId === upstreamId)
  }

  #listUnproven(upstreamId: string): PlayedRun[] {
    return this.#listOn(upstreamId).filter(({ track }) => !track.isProven)
  }

  /** Lets all runs work until `nowMs`; the members of a gang go as fast as the slowest of them. */
  advance(nowMs: number, byMs: number): void {
    const { troubles } = this.#opts.day
    for (const gang of this.#listGangs()) {
      const paces = gang.map(({ placement: { upstreamId } }) =>
        this.crashes.isDown(upstreamId) ? 0 : measurePace(troubles, upstreamId, nowMs),
      )
      const pace = minOf(paces)
      for (const run of gang) {
        const workedMs = Math.min(byMs, Math.max(0, nowMs - run.startsAtMs))
        run.doneMs = Math.min(run.endsAtDoneMs, run.doneMs + workedMs * pace)
        this.#prove(run, nowMs)
        run.track.progressPercent = Math.floor((wholePercent * run.doneMs) / run.lengthMs)
      }
    }
  }

  /** The ends of all runs that are over or were stopped by now. */
  takeEnds(nowMs: number): RunEnd[] {
    const ends = this.crashes
      .takeRevived(nowMs)
      .flatMap((upstreamId) => this.#endCrashed(upstreamId))
    for (const run of [...this.#runs.values()]) {
      if (!this.#runs.has(runKey(run.placement))) continue
      if (this.crashes.isDown(run.placement.upstreamId)) continue
      if ((run.stopAtMs ?? Infinity) <= nowMs) addAll(ends, this.#end(run, 'stopped'))
      else if (isOver(run)) addAll(ends, this.#end(run, run.outcome))
    }
    return ends
  }

  /** The ends of all that runs on an upstream that is lost. */
  lose(upstreamId: string): RunEnd[] {
    this.crashes.forget(upstreamId)
    return this.#listOn(upstreamId).flatMap((run) =>
      this.#runs.has(runKey(run.placement)) ? this.#end(run, 'lost') : [],
    )
  }

  #prove({ track, placement, startsAtMs, isCrashing }: PlayedRun, nowMs: number): void {
    const { upstreamId } = placement
    this.crashes.look({ upstreamId, startsAtMs, isCrashing }, nowMs)
    if (this.crashes.isDown(upstreamId)) return
    track.isProven ||= nowMs - startsAtMs >= provenAfterMs
  }

  #endCrashed(upstreamId: string): RunEnd[] {
    const runs = this.#listOn(upstreamId)
    const blames = blameCrash(
      runs.map(({ placement, track }) => {
        return { placement, isProven: track.isProven, start: 'seen' as const }
      }),
      true,
    )
    return runs.flatMap((run) =>
      this.#runs.has(runKey(run.placement)) ? this.#end(run, 'crashed', blames) : [],
    )
  }

  stop(placement: Placement, nowMs: number): void {
    const run = this.#runs.get(runKey(placement))
    if (run === undefined) return
    run.stopAtMs ??= nowMs + this.#opts.day.stopMs
    run.track.isStopping = true
  }

  stopJob(jobId: string, nowMs: number): void {
    for (const { placement } of this.#runs.values()) {
      if (placement.jobId === jobId) this.stop(placement, nowMs)
    }
  }

  start(placements: readonly Placement[], nowMs: number): void {
    const steps = new Map<string, Placement[]>()
    for (const placement of placements) {
      const key = `${placement.jobId}/${placement.step}`
      steps.set(key, [...(steps.get(key) ?? []), placement])
    }
    for (const group of steps.values()) {
      const areSpread = this.#areSpread(group)
      for (const placement of group) {
        const times = areSpread || this.#isRemote(placement) ? remoteTimes : 1
        this.#runs.set(
          runKey(placement),
          createPlayedRun({
            ...this.#opts,
            job: this.#byId.get(placement.jobId),
            placement,
            times,
            nowMs,
          }),
        )
      }
    }
  }

  #listGangs(): PlayedRun[][] {
    const gangs = new Map<string, PlayedRun[]>()
    for (const run of this.#runs.values()) {
      const { jobId, step, attempt } = run.placement
      const isGang = this.#stepOf(run.placement)?.isGang === true
      const key = isGang ? `${jobId}/${step}#${attempt}` : runKey(run.placement)
      const gang = gangs.get(key)
      if (gang === undefined) gangs.set(key, [run])
      else gang.push(run)
    }
    return [...gangs.values()]
  }

  /** All members of a gang end with one of them. */
  #end(run: PlayedRun, outcome: RunOutcome, blames?: ReadonlyMap<string, CrashBlame>): RunEnd[] {
    const { jobId, step, attempt } = run.placement
    const isGang = this.#stepOf(run.placement)?.isGang === true
    const members = [...this.#runs.values()].filter(
      ({ placement }) =>
        placement.jobId === jobId && placement.step === step && placement.attempt === attempt,
    )
    const ended = isGang ? members : [run]
    const others = outcome === 'done' ? 'done' : 'broken'
    if (outcome === 'done') this.#opts.speeds.noteEnd({ ...run.placement, outcome }, run.track)
    const ends = ended.map((member): RunEnd => {
      const blame = blames?.get(runKey(member.placement))
      if (blame !== undefined) return { ...this.#toEnd(member, 'crashed'), isCertain: true, blame }
      return this.#toEnd(member, member === run ? outcome : others)
    })
    for (const member of ended) this.#runs.delete(runKey(member.placement))
    return ends
  }

  #toEnd(run: PlayedRun, outcome: RunOutcome): RunEnd {
    const { placement, resumedAt, lengthMs, doneMs } = run
    const step = this.#stepOf(placement)
    const { checkpointMs } = this.#opts.day
    const ranMs = Math.max(0, doneMs - resumedAt * lengthMs)
    const savedMs = step?.checkpoints === true ? savedMsOf({ ranMs, outcome, checkpointMs }) : 0
    if (outcome === 'stopped') this.stoppedRuns += 1
    if (outcome !== 'done' && step !== undefined) {
      this.wastedCoreSeconds += ((ranMs - savedMs) * measureCores(step.needs)) / 1000
    }
    if (savedMs === 0) return { ...placement, outcome }
    return { ...placement, outcome, checkpoint: String(resumedAt + savedMs / lengthMs) }
  }

  #stepOf({ jobId, step }: Placement) {
    return this.#byId.get(jobId)?.request.steps[step]
  }

  #isRemote(placement: Placement): boolean {
    const dataRack = this.#stepOf(placement)?.dataRack
    return dataRack !== undefined && this.#rackOf(placement) !== dataRack
  }

  #rackOf({ upstreamId }: Placement): string | undefined {
    return this.#opts.state.upstreams.get(upstreamId)?.description.rack
  }

  #areSpread(group: readonly Placement[]): boolean {
    const [first] = group
    if (first === undefined || this.#stepOf(first)?.prefersOneRack !== true) return false
    return new Set(group.map((placement) => this.#rackOf(placement))).size > 1
  }
}
