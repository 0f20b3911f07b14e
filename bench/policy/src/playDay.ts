/** Plays a crowded day with the scheduler and the state of the product, in simulated time. */
import { runKey } from '@nettlespur/batch.model'
import { measureCores, planRound } from '@nettlespur/batch.scheduler'
import { buildView } from '@nettlespur/batch.service'
import type { RunTrack } from '@nettlespur/batch.sessions'
import { BatchState, type Placement, type RunEnd, type RunOutcome } from '@nettlespur/batch.state'
import { SeededRandom } from '@nettlespur/bench.placement'
import { finishMs, type CrowdedDay, type DayJob } from './crowdedDay.js'
import { HeldUpWatch } from './heldUpWatch.js'
import { sumEarnings, type JobEnd, type KindEarnings } from './sumEarnings.js'

/** Between two looks at what has changed. */
const stepMs = 50
/** From a placement to the task at work, and from a stop to its end: a commit, a call, an answer. */
const orderMs = 40
/** A task outside its rack takes this many times as long. */
const remoteTimes = 3
const checkpointMs = 2000

interface Run {
  readonly placement: Placement
  readonly track: RunTrack
  readonly endsAtMs: number
  readonly outcome: RunOutcome
  /** Progress before this run, as a share. */
  readonly resumedAt: number
  readonly lengthMs: number
  stopAtMs: number | undefined
}

export interface DayResult {
  /** By kind of job. */
  readonly kinds: ReadonlyMap<string, KindEarnings>
  /** Earned by all jobs, as a share of what they could. */
  readonly worth: number
  /** Run time of stopped runs that no checkpoint saved, in core-seconds. */
  readonly wastedCoreSeconds: number
  /** Runs that were stopped for others. */
  readonly stoppedRuns: number
  /** Jobs that are held up as the day ends. */
  readonly heldUp: number
  /** What building the view and deciding took, of each round. */
  readonly roundsMs: readonly number[]
}

export function playDay(day: CrowdedDay, seed: number): DayResult {
  const player = new DayPlayer(day, seed)
  return player.play()
}

class DayPlayer {
  readonly #day: CrowdedDay
  readonly #random: SeededRandom
  readonly #state = new BatchState()
  readonly #byId: ReadonlyMap<string, DayJob>
  readonly #acceptedAtMs = new Map<string, number>()
  readonly #endedAtMs = new Map<string, number>()
  readonly #runs = new Map<string, Run>()
  readonly #roundsMs: number[] = []
  readonly #heldUp = new HeldUpWatch()
  #wastedMs = 0
  #stoppedRuns = 0
  #nowMs = 0

  constructor(day: CrowdedDay, seed: number) {
    this.#day = day
    this.#random = new SeededRandom(seed)
    this.#byId = new Map(day.jobs.map((job) => [job.request.jobId, job]))
    this.#state.apply({ type: 'apply-config', config: day.config })
    for (const description of day.upstreams) {
      this.#state.apply({ type: 'note-upstream', description })
    }
  }

  play(): DayResult {
    const arrivals = [...this.#day.jobs]
    const losses = [...this.#day.losses].sort((left, right) => left.atMs - right.atMs)
    for (; this.#nowMs < this.#day.lengthMs + finishMs; this.#nowMs += stepMs) {
      while ((arrivals[0]?.arriveMs ?? Infinity) <= this.#nowMs) this.#submit(arrivals.shift())
      while ((losses[0]?.atMs ?? Infinity) <= this.#nowMs) this.#lose(losses.shift()?.upstreamId)
      this.#endRuns()
      this.#decide()
      this.#heldUp.look(this.#state, this.#listRunning(), this.#nowMs)
    }
    return this.#measure()
  }

  #listRunning(): Placement[] {
    return [...this.#runs.values()].map(({ placement }) => placement)
  }

  #submit(job: DayJob | undefined): void {
    if (job === undefined) return
    const { request, workspace, kind } = job
    this.#acceptedAtMs.set(request.jobId, this.#nowMs)
    this.#state.apply({ type: 'submit-job', request, workspace, queueName: kind.name })
  }

  #lose(upstreamId: string | undefined): void {
    if (upstreamId === undefined) return
    this.#state.apply({ type: 'remove-upstream', upstreamId })
    for (const run of this.#runs.values()) {
      if (run.placement.upstreamId === upstreamId) this.#end(run, 'lost')
    }
  }

  #endRuns(): void {
    for (const run of [...this.#runs.values()]) {
      if (!this.#runs.has(runKey(run.placement))) continue
      if ((run.stopAtMs ?? Infinity) <= this.#nowMs) this.#end(run, 'stopped')
      else if (run.endsAtMs <= this.#nowMs) this.#end(run, run.outcome)
    }
  }

  /** All members of a gang end with one of them. */
  #end(run: Run, outcome: RunOutcome): void {
    const { jobId, step, attempt } = run.placement
    const isGang = this.#byId.get(jobId)?.request.steps[step]?.isGang === true
    const members = [...this.#runs.values()].filter(
      ({ placement }) =>
        placement.jobId === jobId && placement.step === step && placement.attempt === attempt,
    )
    const ended = isGang ? members : [run]
    const others = outcome === 'done' ? 'done' : 'broken'
    const ends = ended.map((member) => this.#toEnd(member, member === run ? outcome : others))
    this.#state.apply({ type: 'end-runs', ends })
    for (const member of ended) this.#runs.delete(runKey(member.placement))
    if (this.#state.jobs.get(jobId)?.status === 'active') return
    if (!this.#endedAtMs.has(jobId)) this.#endedAtMs.set(jobId, this.#nowMs)
  }

  #toEnd(run: Run, outcome: RunOutcome): RunEnd {
    const { placement, track, resumedAt, lengthMs } = run
    const step = this.#byId.get(placement.jobId)?.request.steps[placement.step]
    const ranMs = Math.max(0, this.#nowMs - track.startedAtMs)
    const savedMs = step?.checkpoints === true ? this.#savedMs(ranMs, outcome) : 0
    if (outcome === 'stopped') this.#stoppedRuns += 1
    if (outcome !== 'done' && step !== undefined) {
      this.#wastedMs += (ranMs - savedMs) * measureCores(step.needs)
    }
    const progress = resumedAt + savedMs / Math.max(1, lengthMs)
    return savedMs > 0
      ? { ...placement, outcome, checkpoint: String(progress) }
      : { ...placement, outcome }
  }

  /** A stop saves all; what ends otherwise keeps its last regular checkpoint. */
  #savedMs(ranMs: number, outcome: RunOutcome): number {
    if (outcome === 'stopped' || outcome === 'broken') return ranMs
    return Math.floor(ranMs / checkpointMs) * checkpointMs
  }

  #decide(): void {
    const begunAt = process.hrtime.bigint()
    const view = buildView({
      state: this.#state,
      nowMs: this.#nowMs,
      acceptedAtMs: this.#acceptedAtMs,
      isUsable: ({ isDraining }) => !isDraining,
      isStopping: (placement) => this.#runs.get(runKey(placement))?.stopAtMs !== undefined,
      findTrack: (placement) => this.#trackOf(placement),
    })
    const { placements, preemptions } = planRound(view)
    this.#roundsMs.push(Number(process.hrtime.bigint() - begunAt) / 1e6)
    for (const { run } of preemptions) this.#stop(run)
    this.#state.apply({ type: 'place-tasks', placements })
    this.#start(placements)
  }

  #stop(placement: Placement): void {
    const run = this.#runs.get(runKey(placement))
    if (run !== undefined) run.stopAtMs ??= this.#nowMs + orderMs
  }

  #start(placements: readonly Placement[]): void {
    const steps = new Map<string, Placement[]>()
    for (const placement of placements) {
      const key = `${placement.jobId}/${placement.step}`
      steps.set(key, [...(steps.get(key) ?? []), placement])
    }
    for (const group of steps.values()) {
      const times = this.#areSpread(group) ? remoteTimes : 1
      for (const placement of group) this.#runs.set(runKey(placement), this.#run(placement, times))
    }
  }

  #areSpread(group: readonly Placement[]): boolean {
    const [first] = group
    const step = first && this.#byId.get(first.jobId)?.request.steps[first.step]
    if (step?.prefersOneRack !== true) return false
    const racks = group.map(({ upstreamId }) => this.#state.upstreams.get(upstreamId))
    return new Set(racks.map((upstream) => upstream?.description.rack)).size > 1
  }

  #run(placement: Placement, times: number): Run {
    const { jobId, step, index } = placement
    const job = this.#byId.get(jobId)
    const checkpoint = this.#state.jobs.get(jobId)?.steps[step]?.tasks[index]?.checkpoint ?? ''
    const resumedAt = checkpoint === '' ? 0 : Math.min(1, Number(checkpoint))
    const lengthMs = (job?.runTimesMs[step] ?? 0) * times
    const startedAtMs = this.#nowMs + orderMs
    const fails = this.#random.chance(job?.kind.failingShare ?? 0)
    const workMs = lengthMs * (1 - resumedAt) * (fails ? this.#random.next() : 1)
    return {
      placement,
      resumedAt,
      lengthMs,
      outcome: fails ? 'failed' : 'done',
      endsAtMs: startedAtMs + workMs,
      stopAtMs: undefined,
      track: {
        placement,
        phase: 'settled',
        settledAtMs: startedAtMs,
        startedAtMs,
        progressPercent: 0,
        checkpoint,
        isStopping: false,
      },
    }
  }

  #trackOf(placement: Placement): RunTrack | undefined {
    const run = this.#runs.get(runKey(placement))
    if (run === undefined) return undefined
    const { track, resumedAt, lengthMs } = run
    const ran = Math.max(0, this.#nowMs - track.startedAtMs) / Math.max(1, lengthMs)
    track.progressPercent = Math.floor(100 * Math.min(1, resumedAt + ran))
    return track
  }

  #measure(): DayResult {
    const kinds = sumEarnings(this.#day.jobs, (job) => this.#judge(job))
    const all = [...kinds.values()]
    const earned = all.reduce((sum, kind) => sum + kind.earned, 0)
    const owed = all.reduce((sum, kind) => sum + kind.owed, 0)
    const wastedCoreSeconds = this.#wastedMs / 1000
    const stoppedRuns = this.#stoppedRuns
    const heldUp = this.#heldUp.count(this.#nowMs)
    const worth = earned / owed
    return { kinds, worth, wastedCoreSeconds, stoppedRuns, heldUp, roundsMs: this.#roundsMs }
  }

  #judge({ request: { jobId }, arriveMs }: DayJob): JobEnd {
    const endedAtMs = this.#endedAtMs.get(jobId)
    const isCompleted = this.#state.jobs.get(jobId)?.status === 'completed'
    return { isCompleted, tookMs: (endedAtMs ?? Infinity) - arriveMs }
  }
}
