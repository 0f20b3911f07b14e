/**
 * Runs the leader's scheduling rounds: after each change, and at least every `idleRoundIntervalMs`. A round decides which
 * tasks start where and which runs are preempted. Placements are committed before the start orders are sent.
 */
import { runFields, runKey } from '@nettlespur/batch.model'
import {
  HeadroomWatch,
  placementsPerRoundMax,
  planRoundSafely,
  type Preemption,
  type RoundDecision,
} from '@nettlespur/batch.scheduler'
import type { SpeedDistribution } from '@nettlespur/batch.speeds'
import type { BatchState, Command, Placement } from '@nettlespur/batch.state'
import { Wake, type Clock } from '@nettlespur/core.clock'
import { describeFault } from '@nettlespur/core.errors'
import { measureWork } from '@nettlespur/core.load'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import type { BatchTimings } from './batchTimings.js'
import { buildSchedulerView, type ListRunsOptions } from './buildSchedulerView.js'
import { FaultyJobs } from './faultyJobs.js'
import { Housekeeper } from './housekeeper.js'
import { HeadroomLog } from './headroomLog.js'
import type { JobClock } from './jobClock.js'
import { listRunsCutShort } from './listRunsCutShort.js'
import type { RetryBackoff } from './retryBackoff.js'
import { SpeedLog } from './speedLog.js'
import { StarvationWatch } from './starvationWatch.js'
import type { UpstreamRoster } from './upstreamRoster.js'

/** Rounds are due without an event too: as time passes, quarantines end and jobs can no longer meet their objective. */
const idleRoundIntervalMs = 500
/**
 * Rounds take no more than this share of the time while every change calls for another one: while calls wait for the
 * processor, each round decides on what the others have not brought about yet.
 */
const roundShareMax = 0.2
/** Rounds this short leave enough time for calls. */
const shortRoundMs = 2
/** A decision is never later than by this for the sake of calls. */
const roundPauseMsMax = 100

/** After this many failed rounds in a row another leader is to try. */
const failedRoundsMax = 3

/** Reasons for stopping a run, for the log. */
const cutShortReason = 'its upstream leaves before it can end'
const guaranteedReason = 'its resources are guaranteed to another job'
const urgentReason = 'a more valuable urgent job needs its resources'

export interface SchedulingRoundsOptions {
  clock: Clock
  logger: Logger
  metrics: MetricsRegistry
  timings: BatchTimings
  roster: UpstreamRoster
  jobClock: JobClock
  retryBackoff: RetryBackoff
  /** How fast the upstream works, as far as that is known. */
  getSpeed: (upstreamId: string, nowMs: number) => SpeedDistribution
  getState: () => BatchState
  shouldStop: (placement: Placement) => boolean
  /** See `SessionHost`. */
  listPlacements: (upstreamId: string) => ReadonlyMap<string, Placement>
  preempt: (runs: readonly Placement[]) => void
  /** Resolves to false if the command was not committed or its outcome is unknown. */
  tryPropose: (command: Command) => Promise<boolean>
  /** Called each time that rounds have failed `failedRoundsMax` times in a row, whatever jobs are left out. */
  onFailing: () => void
  /** Ends the rounds. */
  signal: AbortSignal
}

export class SchedulingRounds {
  readonly #opts: SchedulingRoundsOptions
  readonly #housekeeper: Housekeeper
  readonly #starvationWatch: StarvationWatch
  /** Undefined where nothing has to be kept free. */
  readonly #headroom: HeadroomWatch | undefined
  readonly #headroomLog: HeadroomLog
  readonly #speedLog: SpeedLog
  readonly #faultyJobs: FaultyJobs
  readonly #wake = new Wake()
  #failedRounds = 0

  constructor(opts: SchedulingRoundsOptions) {
    this.#opts = opts
    const { claimBounds } = opts.timings
    this.#headroom = HeadroomWatch.create(claimBounds)
    const windowMs = claimBounds?.stopMsMax ?? 0
    this.#headroomLog = new HeadroomLog({ ...opts, headroom: this.#headroom, windowMs })
    this.#speedLog = new SpeedLog(opts)
    this.#faultyJobs = new FaultyJobs(opts)
    this.#starvationWatch = new StarvationWatch({
      ...opts,
      describeFleet: () => ({
        usableUpstreams: opts.roster.countUsable(opts.getState()),
        knownUpstreams: opts.getState().upstreams.size,
        evacuated: opts.getState().evacuations.listInForce(),
      }),
    })
    this.#housekeeper = new Housekeeper({ ...opts, keepEndedMs: opts.timings.keepEndedMs })
  }

  /** Requests a round, because a change may let work start. */
  requestRound(): void {
    this.#wake.notify()
  }

  /** Never rejects: a round that fails is logged, and the next one is tried. */
  async run(): Promise<void> {
    const { clock, signal } = this.#opts
    const isOver = (): boolean => signal.aborted
    while (!isOver()) {
      await this.#wake.wait(clock, idleRoundIntervalMs, signal)
      if (!isOver()) await this.#tryRound()
    }
  }

  async #tryRound(): Promise<void> {
    const { clock, logger, metrics, signal, onFailing } = this.#opts
    try {
      await this.#runRound()
      if (!signal.aborted) await this.#housekeeper.cleanUp()
      this.#failedRounds = 0
    } catch (thrown) {
      this.#failedRounds += 1
      const failures = this.#failedRounds
      logger.error({ event: 'round.failed', failures, ...describeFault(thrown) })
      metrics.count('scheduling_rounds_failed_total')
      if (failures % failedRoundsMax === 0) onFailing()
      await clock.sleep(idleRoundIntervalMs, signal)
    }
  }

  async #runRound(): Promise<void> {
    const { clock, metrics, signal } = this.#opts
    const nowMs = clock.monotonicMs()
    this.#moveRunsCutShort(nowMs)
    const decision = measureWork(this.#opts, 'round', () => this.#plan(nowMs))
    const { placements, preemptions, starving, speed } = decision
    this.#starvationWatch.noteRound(starving, nowMs)
    this.#headroomLog.noteRound(this.#headroom?.noteRound(decision, nowMs) ?? [], nowMs)
    this.#speedLog.noteRound(speed, nowMs)
    const tookMs = clock.monotonicMs() - nowMs
    metrics.recordMs('scheduling_round_ms', tookMs)
    this.#preempt(preemptions)
    if (placements.length > 0) await this.#place(placements)
    if (placements.length >= placementsPerRoundMax) this.requestRound()
    if (tookMs > shortRoundMs) await clock.sleep(computeRoundPauseMs(tookMs), signal)
  }

  #plan(nowMs: number): RoundDecision {
    const { getState, getSpeed, roster, jobClock, retryBackoff, timings } = this.#opts
    jobClock.update(getState(), nowMs)
    this.#headroom?.noteJobs(getState().unsettled, nowMs)
    const view = buildSchedulerView({
      ...this.#createRunsOptions(nowMs),
      getSpeed: (upstreamId) => getSpeed(upstreamId, nowMs),
      acceptedAtMs: jobClock.acceptedAtMs,
      getAvailability: (upstream) => roster.getAvailability(upstream),
      isCold: ({ description }) => roster.isCold(description.upstreamId),
      isUnstable: ({ description }) => roster.health.isUnstable(description, nowMs),
      hasTrial: ({ description }) =>
        roster.findSession(description.upstreamId)?.tracks.hasTrial === true,
      isQuiet: (upstream) => roster.isQuiet(upstream),
      isLeftOut: (jobId) => this.#faultyJobs.isLeftOut(jobId, nowMs),
      isPaused: (task) => retryBackoff.isPaused(task, nowMs),
      starvedMs: (unit) => this.#starvationWatch.times.starvedMs(unit, nowMs),
      claimBounds: timings.claimBounds,
      headroom: this.#headroom?.view(nowMs),
    })
    const { decision, faults } = planRoundSafely(view)
    this.#faultyJobs.note(faults, nowMs)
    return decision
  }

  /** Stops runs that cannot end before their upstream leaves, so that they start again elsewhere. */
  #moveRunsCutShort(nowMs: number): void {
    const { roster, preempt } = this.#opts
    const runs = listRunsCutShort(roster.listLeaving(), this.#createRunsOptions(nowMs))
    for (const run of runs) this.#log('run.evacuated', run, { reason: cutShortReason })
    preempt(runs)
  }

  #preempt(preemptions: readonly Preemption[]): void {
    const { metrics, preempt } = this.#opts
    for (const { run, forJobId, isGuaranteed, lostCoreSeconds } of preemptions) {
      const reason = isGuaranteed ? guaranteedReason : urgentReason
      const lost = Math.round(lostCoreSeconds)
      this.#log('run.preempted', run, { reason, forJobId, lostCoreSeconds: lost })
      metrics.count('runs_preempted_total')
    }
    preempt(preemptions.map(({ run }) => run))
  }

  #createRunsOptions(nowMs: number): ListRunsOptions {
    const { getState, roster, shouldStop, listPlacements } = this.#opts
    return {
      state: getState(),
      listPlacements,
      nowMs,
      isStopping: shouldStop,
      findTrack: (placement) => roster.findSession(placement.upstreamId)?.tracks.find(placement),
    }
  }

  async #place(placements: Placement[]): Promise<void> {
    const { clock, tryPropose, signal } = this.#opts
    if (await tryPropose({ type: 'place-tasks', placements })) {
      for (const placement of placements) this.#startPlaced(placement)
    } else {
      await clock.sleep(idleRoundIntervalMs, signal)
    }
  }

  /** Sends the start order, unless the state refused the placement because its job had ended meanwhile. */
  #startPlaced(placement: Placement): void {
    const { clock, getState, jobClock, roster } = this.#opts
    const { jobId, upstreamId } = placement
    if (!getState().placements.getByUpstream(upstreamId).has(runKey(placement))) return
    const waitedMs = Math.round(jobClock.waitedMs(jobId, clock.monotonicMs()))
    this.#log('placement.decided', placement, { waitedMs, ...this.#speedLog.describe(placement) })
    roster.openSession(upstreamId)?.start(placement)
  }

  #log(event: string, run: Placement, fields: Readonly<Record<string, string | number>>): void {
    const { upstreamId } = run
    this.#opts.logger.info({ event, ...runFields(run), upstreamId, ...fields })
  }
}

/** Returns how long to leave the processor to calls after a round. */
function computeRoundPauseMs(tookMs: number): number {
  return Math.min(roundPauseMsMax, tookMs / roundShareMax - tookMs)
}
