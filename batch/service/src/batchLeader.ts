/**
 * The leader's work during one term: keeps sessions with the upstreams, runs the scheduling rounds, and commits each
 * placement before it orders the upstream to start it.
 */
import type { Announcement, RunRef } from '@nettlespur/batch.model'
import {
  SessionHost,
  type Replacement,
  type UpstreamPort,
  type UpstreamTarget,
} from '@nettlespur/batch.sessions'
import { unknownSpeed } from '@nettlespur/batch.speeds'
import {
  type BatchState,
  type Command,
  type JobRecord,
  type Placement,
  type RunEnd,
  type UpstreamRecord,
} from '@nettlespur/batch.state'
import type { Clock } from '@nettlespur/core.clock'
import { unwrap } from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import { setMaxListeners } from 'node:events'
import type { BatchTimings } from './batchTimings.js'
import { FenceIssuer } from './fenceIssuer.js'
import { GoneUpstreams } from './goneUpstreams.js'
import type { JobClock } from './jobClock.js'
import { logTakeover } from './logTakeover.js'
import { markFormerCrashes } from './markFormerCrashes.js'
import { ObservedStarts } from './observedStarts.js'
import { createTryPropose, type Propose, type TryPropose } from './proposer.js'
import { listActiveJobs, reportEnds } from './reportEnds.js'
import { RetryBackoff } from './retryBackoff.js'
import { SchedulingRounds } from './schedulingRounds.js'
import { createSpeedLearner, noteSpeeds } from './learnSpeeds.js'
import { SilenceWatch } from './silenceWatch.js'
import { splitBatches } from './splitBatches.js'
import type { SpeedLearner } from './speedLearner.js'
import type { UpstreamSpeedsMode } from './upstreamSpeedsMode.js'
import { StopRequests } from './stopRequests.js'
import { UpstreamRegistrar } from './upstreamRegistrar.js'
import { UpstreamRoster } from './upstreamRoster.js'

export interface BatchLeaderOptions {
  term: number
  clock: Clock
  logger: Logger
  metrics: MetricsRegistry
  timings: BatchTimings
  port: UpstreamPort
  /** Owned by the member, which maintains it whether or not it leads. */
  jobClock: JobClock
  getState: () => BatchState
  propose: Propose
  /** Called if this leader cannot decide any more, whatever jobs it leaves out: another member should lead. */
  onFailing: () => void
  /** Whether the speeds of upstreams are learned; `ignore` by default. */
  upstreamSpeeds?: UpstreamSpeedsMode | undefined
}

export class BatchLeader extends SessionHost {
  readonly #opts: BatchLeaderOptions
  readonly #tryPropose: TryPropose
  readonly #stopController = new AbortController()
  readonly #speedLearner: SpeedLearner | undefined
  readonly #roster: UpstreamRoster
  readonly #stops: StopRequests
  readonly #rounds: SchedulingRounds
  readonly #registrar: UpstreamRegistrar
  readonly #retryBackoff = new RetryBackoff()
  readonly #fences: FenceIssuer
  readonly #observedStarts: ObservedStarts
  readonly #silences: SilenceWatch
  readonly #goneUpstreams: GoneUpstreams

  constructor(opts: BatchLeaderOptions) {
    super()
    this.#opts = opts
    this.#tryPropose = createTryPropose(opts)
    this.#fences = new FenceIssuer(opts.term)
    this.#observedStarts = new ObservedStarts(opts.getState)
    const { signal } = this.#stopController
    this.#speedLearner = createSpeedLearner({
      ...opts,
      isCold: (upstreamId) => this.#roster.isCold(upstreamId),
    })
    const paceWatch = this.#speedLearner
    this.#roster = new UpstreamRoster({ ...opts, host: this, paceWatch, signal })
    this.#stops = new StopRequests({ ...opts, roster: this.#roster })
    this.#rounds = new SchedulingRounds({
      ...opts,
      roster: this.#roster,
      getSpeed: (upstreamId, nowMs) => this.#speedLearner?.get(upstreamId, nowMs) ?? unknownSpeed,
      retryBackoff: this.#retryBackoff,
      shouldStop: (placement) => this.shouldStop(placement),
      listPlacements: (upstreamId) => this.listPlacements(upstreamId),
      preempt: (runs) => {
        this.#stops.preempt(runs)
      },
      tryPropose: this.#tryPropose,
      signal,
    })
    const shared = { ...opts, roster: this.#roster, tryPropose: this.#tryPropose, signal }
    this.#silences = new SilenceWatch(shared)
    this.#goneUpstreams = new GoneUpstreams({ ...shared, silences: this.#silences })
    this.#registrar = new UpstreamRegistrar({
      ...opts,
      roster: this.#roster,
      propose: (command) => this.#propose(command),
      requestRound: () => {
        this.#rounds.requestRound()
      },
    })
    // Every session listens to the signal, some of them several times at once.
    setMaxListeners(0, signal)
  }

  get #state(): BatchState {
    return this.#opts.getState()
  }

  /**
   * Takes over the runs that earlier leaders placed, then runs the scheduling rounds. Resolves once the leader has been
   * stopped; rejects if the takeover fails.
   */
  async run(): Promise<void> {
    logTakeover({ ...this.#opts, state: this.#state })
    const scheduling = this.#scheduleAfterTakeover()
    const { signal } = this.#stopController
    const learner = this.#speedLearner
    void noteSpeeds({ ...this.#opts, learner, tryPropose: this.#tryPropose, signal })
    void this.#silences.run()
    await scheduling
  }

  async #scheduleAfterTakeover(): Promise<void> {
    const { clock, logger } = this.#opts
    const begunAtMs = clock.monotonicMs()
    await this.#roster.takeOver(this.#state)
    const tookMs = Math.round(clock.monotonicMs() - begunAtMs)
    const usableUpstreams = this.#roster.countUsable(this.#state)
    logger.info({ event: 'leader.deciding', term: this.#opts.term, tookMs, usableUpstreams })
    await this.#rounds.run()
  }

  stop(): void {
    this.#stopController.abort()
    this.#opts.logger.info({ event: 'leader.stopped', term: this.#opts.term })
  }

  /** Call it after each applied command. */
  handleAppliedCommand(command: Command): void {
    this.#stops.noteApplied(command)
    this.#observedStarts.noteApplied(command)
    // A round's own placements only take up resources, and rounds know the speeds before they are committed.
    const { type } = command
    if (type !== 'place-tasks' && type !== 'note-speeds') this.#rounds.requestRound()
  }

  /** Resolves once the changes that the announcement brings are committed. Errors: rejects as proposals do. */
  announce(announcement: Announcement): Promise<void> {
    return this.#registrar.announce(announcement)
  }

  /** See `UpstreamRegistrar`. Errors: rejects as proposals do. */
  leave(id: string): Promise<void> {
    return this.#registrar.leave(id)
  }

  override findJob(jobId: string): JobRecord | undefined {
    return this.#state.jobs.get(jobId)
  }

  override findUpstream(upstreamId: string): UpstreamRecord | undefined {
    return this.#state.upstreams.get(upstreamId)
  }

  override isEvacuated(upstreamId: string): boolean {
    return this.#state.isEvacuated(upstreamId)
  }

  override listPlacements(upstreamId: string): ReadonlyMap<string, Placement> {
    return this.#roster.succession.listPlacements(this.#state.placements, upstreamId)
  }

  override issueFence(): number {
    return this.#fences.issue()
  }

  override noteAnswered(target: UpstreamTarget, sentAtMs: number): boolean {
    this.#silences.noteAlive(target.upstreamId)
    return this.#roster.noteAnswered(target, sentAtMs)
  }

  override noteReplaced(replacement: Replacement): void {
    this.#goneUpstreams.noteReplaced(replacement)
    this.#rounds.requestRound()
  }

  override shouldStop(placement: Placement): boolean {
    return this.#stops.shouldStop(placement)
  }

  /** Whether a task of the job has begun, as far as the state or an answer to this leader shows. */
  hasBegun(job: JobRecord): boolean {
    return this.#observedStarts.has(job.request.jobId)
  }

  override noteBegun(run: RunRef): void {
    this.#observedStarts.note(run)
  }

  override async commitEnds(reported: readonly RunEnd[]): Promise<boolean> {
    const ends = reported.map((end) => this.#markEnd(end))
    const active = listActiveJobs(this.#state, ends)
    for (const batch of splitBatches(ends)) {
      if (!(await this.#tryPropose({ type: 'end-runs', ends: batch }))) return false
    }
    const nowMs = this.#opts.clock.monotonicMs()
    reportEnds({ ...this.#opts, ends, jobs: active, nowMs })
    for (const end of ends) {
      this.#stops.forget(end)
      const address = this.findUpstream(end.upstreamId)?.description.address
      this.#roster.health.noteEnd(end, address, nowMs)
      this.#retryBackoff.noteEnd(end, nowMs)
    }
    this.#goneUpstreams.removeSettled()
    return true
  }

  override abandonGang(placement: Placement): void {
    this.#stops.abandonGang(placement)
  }

  override noteGone(upstreamId: string): void {
    this.#goneUpstreams.noteGone(upstreamId)
  }

  #markEnd(end: RunEnd): RunEnd {
    return markFormerCrashes(this.#observedStarts.markEnd(end), this.#state)
  }

  /** Errors: rejects as proposals do. */
  async #propose(command: Command): Promise<void> {
    await unwrap(this.#opts.propose(command))
  }
}
