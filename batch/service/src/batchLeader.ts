/**
 * The work of one leadership: it talks to the upstreams, decides what starts where, and commits each
 * placement before its start is sent.
 */
import {
  runFields,
  runKey,
  upstreamDescriptionSchema,
  type Announcement,
} from '@nettlespur/batch.model'
import { planRound } from '@nettlespur/batch.scheduler'
import { SessionHost, type UpstreamPort } from '@nettlespur/batch.sessions'
import type {
  BatchState,
  Command,
  JobRecord,
  Placement,
  RunEnd,
  UpstreamRecord,
} from '@nettlespur/batch.state'
import { Wake, type Clock } from '@nettlespur/core.clock'
import { unwrap } from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import { setMaxListeners } from 'node:events'
import { isDeepStrictEqual } from 'node:util'
import type { BatchTimings } from './batchTimings.js'
import { buildView } from './buildView.js'
import { JobClock } from './jobClock.js'
import { listEndedJobs } from './listEndedJobs.js'
import type { Propose } from './proposer.js'
import { listActiveJobs, reportEnds } from './reportEnds.js'
import { UpstreamRoster } from './upstreamRoster.js'

/** Rounds that no event asks for: quarantines end, and jobs lose hope, with time alone. */
const idleRoundMs = 500

export interface BatchLeaderOptions {
  term: number
  clock: Clock
  logger: Logger
  metrics: MetricsRegistry
  timings: BatchTimings
  port: UpstreamPort
  getState: () => BatchState
  propose: Propose
}

export class BatchLeader extends SessionHost {
  readonly fence: number
  readonly #opts: BatchLeaderOptions
  readonly #ending = new AbortController()
  readonly #roster: UpstreamRoster
  readonly #jobClock = new JobClock()
  readonly #preempted = new Set<string>()
  readonly #wake = new Wake()

  constructor(opts: BatchLeaderOptions) {
    super()
    this.#opts = opts
    this.fence = opts.term
    const { signal } = this.#ending
    this.#roster = new UpstreamRoster({ ...opts, host: this, signal })
    // Every session waits on it, some of them several times at once.
    setMaxListeners(0, signal)
  }

  get #state(): BatchState {
    return this.#opts.getState()
  }

  /** Takes up what earlier leaders placed, and begins to decide. */
  start(): void {
    const { upstreamIds } = this.#state.placements
    const inherited = [...upstreamIds]
    for (const upstreamId of inherited) this.#roster.resume(upstreamId)
    const { upstreams, unsettled } = this.#state
    const held = { upstreams: upstreams.size, unsettledJobs: unsettled.size }
    const fields = { term: this.fence, inheritedUpstreams: inherited.length, ...held }
    this.#opts.logger.info({ event: 'leader.started', ...fields })
    void this.#runRounds()
  }

  stop(): void {
    this.#ending.abort()
    this.#opts.logger.info({ event: 'leader.stopped', term: this.fence })
  }

  /** To be called after each applied command. */
  noteChange(): void {
    for (const session of this.#roster.sessions) session.review()
    this.#wake.notify()
  }

  /** Resolves once control has what matters of it. Errors: rejects as proposals do. */
  async announce(announcement: Announcement): Promise<void> {
    const { upstreamId, isDraining } = announcement
    const known = this.#state.upstreams.get(upstreamId)
    if (known?.hasLeft === true) return
    if (!this.#roster.note(announcement)) return
    const description = upstreamDescriptionSchema.parse(announcement)
    if (known === undefined || !isDeepStrictEqual(known.description, description)) {
      await this.#propose({ type: 'note-upstream', description })
    }
    this.#roster.noteClock(announcement)
    if (isDraining && known?.isDraining !== true) {
      this.#opts.logger.info({ event: 'upstream.draining', upstreamId })
      await this.#propose({ type: 'drain-upstream', upstreamId })
    }
    this.#wake.notify()
  }

  async leave(upstreamId: string): Promise<void> {
    this.#opts.logger.info({ event: 'upstream.left', upstreamId })
    await this.#propose({ type: 'remove-upstream', upstreamId })
  }

  override findJob(jobId: string): JobRecord | undefined {
    return this.#state.jobs.get(jobId)
  }

  override findUpstream(upstreamId: string): UpstreamRecord | undefined {
    return this.#state.upstreams.get(upstreamId)
  }

  override listPlacements(upstreamId: string): ReadonlyMap<string, Placement> {
    return this.#state.placements.on(upstreamId)
  }

  override shouldStop(placement: Placement): boolean {
    const job = this.findJob(placement.jobId)
    if (job?.status !== 'active' || this.#preempted.has(runKey(placement))) return true
    const step = job.steps[placement.step]
    return step !== undefined && placement.attempt <= step.endedGangAttempt
  }

  override async commitEnds(ends: readonly RunEnd[]): Promise<boolean> {
    const active = listActiveJobs(this.#state, ends)
    if (!(await this.#tryPropose({ type: 'end-runs', ends: [...ends] }))) return false
    const nowMs = this.#opts.clock.monotonicMs()
    reportEnds({ ...this.#opts, ends, jobs: active, jobClock: this.#jobClock, nowMs })
    for (const end of ends) {
      this.#preempted.delete(runKey(end))
      this.#roster.health.noteEnd(end, nowMs)
    }
    return true
  }

  override abandonGang({ jobId, step, attempt }: Placement): void {
    const job = this.findJob(jobId)
    if (job?.request.steps[step]?.isGang !== true) return
    job.steps[step]?.tasks.forEach((task, index) => {
      if (task.attempt === attempt) this.#preempted.add(runKey({ jobId, step, index, attempt }))
    })
    this.noteChange()
  }

  override noteGone(upstreamId: string): void {
    this.#roster.forget(upstreamId)
    if (this.findUpstream(upstreamId)?.hasLeft === true) return
    void this.#tryPropose({ type: 'remove-upstream', upstreamId })
  }

  /** Errors: rejects as proposals do. */
  async #propose(command: Command): Promise<void> {
    await unwrap(this.#opts.propose(command))
  }

  /** False, with a line in the log, where the command was not committed or that is not known. */
  async #tryPropose(command: Command): Promise<boolean> {
    const outcome = await this.#opts.propose(command).run()
    outcome.ifLeft(({ kind, message: reason }) => {
      const { type } = command
      this.#opts.logger.warn({ event: 'proposal.failed', type, kind, reason })
    })
    return outcome.isRight()
  }

  async #runRounds(): Promise<void> {
    const { signal } = this.#ending
    const isOver = (): boolean => signal.aborted
    while (!isOver()) {
      await this.#wake.wait(this.#opts.clock, idleRoundMs, signal)
      if (!isOver()) await this.#decide()
      if (!isOver()) await this.#forgetOldJobs()
    }
  }

  async #forgetOldJobs(): Promise<void> {
    const { clock, timings } = this.#opts
    const nowMs = clock.monotonicMs()
    const jobIds = listEndedJobs(this.#state, this.#jobClock, nowMs, timings.keepEndedMs)
    if (jobIds.length > 0) await this.#tryPropose({ type: 'forget-jobs', jobIds })
  }

  async #decide(): Promise<void> {
    const { clock, metrics } = this.#opts
    const nowMs = clock.monotonicMs()
    const state = this.#state
    this.#jobClock.update(state, nowMs)
    const view = buildView({
      state,
      nowMs,
      acceptedAtMs: this.#jobClock.acceptedAtMs,
      isUsable: (upstream) => this.#roster.isUsable(upstream),
      isStopping: (placement) => this.shouldStop(placement),
      findTrack: (placement) => this.#roster.find(placement.upstreamId)?.findTrack(placement),
    })
    const { placements, preemptions } = planRound(view)
    metrics.recordMs('scheduling_round_ms', clock.monotonicMs() - nowMs)
    this.#preempt(preemptions)
    if (placements.length === 0) return
    if (!(await this.#tryPropose({ type: 'place-tasks', placements }))) {
      await clock.sleep(idleRoundMs, this.#ending.signal)
      return
    }
    for (const placement of placements) this.#startPlaced(placement)
  }

  #preempt(runs: readonly Placement[]): void {
    for (const run of runs) {
      this.#preempted.add(runKey(run))
      const { upstreamId } = run
      const reason = 'more urgent work waits for its room'
      this.#opts.logger.info({ event: 'run.preempted', ...runFields(run), upstreamId, reason })
    }
    if (runs.length > 0) this.noteChange()
  }

  /** The state may have refused a placement whose job ended meanwhile. */
  #startPlaced(placement: Placement): void {
    const { jobId, upstreamId } = placement
    if (!this.listPlacements(upstreamId).has(runKey(placement))) return
    const waitedMs = Math.round(this.#jobClock.waitedMs(jobId, this.#opts.clock.monotonicMs()))
    const fields = { ...runFields(placement), upstreamId, waitedMs }
    this.#opts.logger.info({ event: 'placement.decided', ...fields })
    this.#roster.open(upstreamId)?.start(placement)
  }
}
