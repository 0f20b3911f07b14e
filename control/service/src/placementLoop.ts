/**
 * Takes over placed gangs that have no runner, places waiting jobs whenever the state or the upstreams have
 * changed, and records why the remaining jobs wait.
 */
import type { UpstreamView } from '@nettlespur/api.schemas'
import { waitForWake, type GangManager } from '@nettlespur/control.gangs'
import { readJob } from '@nettlespur/control.state'
import { toNettlespurError } from '@nettlespur/core.errors'
import { minOf } from '@nettlespur/core.lists'
import type { PlaceDecision } from '@nettlespur/placement.engine'
import { describeShapes } from '@nettlespur/placement.plan'
import { filter, merge, type BehaviorSubject } from 'rxjs'
import { createPlacementView } from './createPlacementView.js'
import { decideRound, type RoundDecision } from './decideRound.js'
import { ImpossibleJobs } from './impossibleJobs.js'
import { listMoves, canPreempt, type Preemption } from './listMoves.js'
import type { ControlNodeOptions } from './nodeOptions.js'
import { RunTimeLearner } from './runTimeLearner.js'
import type { UpstreamTable } from './upstreamTable.js'

/** Changes within this time are handled in the same round. */
const batchingDelayMs = 10
const tickMs = 1000
/** Log lines about waiting jobs in one round; one further line counts the rest. */
const waitLogLinesMax = 20

export interface PlacementLoopOptions {
  node: ControlNodeOptions
  gangs: GangManager
  upstreams: UpstreamTable
  /** Whether upstreams have had the time to announce themselves to this leader. */
  knowsUpstreams: () => boolean
  version: BehaviorSubject<number>
}

export class PlacementLoop {
  readonly #opts: PlacementLoopOptions
  readonly #impossible: ImpossibleJobs
  readonly #learner = new RunTimeLearner()
  #missingShapes = ''
  #waitReasons = new Map<string, string>()

  constructor(opts: PlacementLoopOptions) {
    this.#opts = opts
    this.#impossible = new ImpossibleJobs(opts.node.clock)
  }

  /** Returns why a job waits as of the last round, or undefined if that round left no reason for it. */
  getWaitReason(jobId: string): string | undefined {
    return this.#waitReasons.get(jobId)
  }

  async run(signal: AbortSignal): Promise<void> {
    const { node, version } = this.#opts
    const { holder, clock } = node
    while (!signal.aborted) {
      const seenIndex = holder.state.appliedIndex
      const seenVersion = version.value
      await this.#runRound(signal)
      const wakes = merge(
        holder.applied.pipe(filter((index) => index > seenIndex)),
        version.pipe(filter((value) => value > seenVersion)),
      )
      await waitForWake(clock, this.#computePauseMs(), wakes, signal)
      await clock.sleep(batchingDelayMs, signal)
    }
  }

  /** Logs the failure of a round, so that it does not end the loop. */
  async #runRound(signal: AbortSignal): Promise<void> {
    try {
      await this.#decideAndApply(signal)
    } catch (thrown) {
      const reason = toNettlespurError(thrown).message
      this.#opts.node.logger.error({ event: 'placement.round-failed', reason })
    }
  }

  async #decideAndApply(signal: AbortSignal): Promise<void> {
    const { node, upstreams, gangs } = this.#opts
    upstreams.refresh()
    gangs.recover()
    const views = upstreams.list()
    const { state } = node.holder
    const now = node.clock.now()
    this.#learner.learn(state, now.getTime())
    const view = createPlacementView({
      state,
      upstreams: views,
      now,
      correction: this.#learner.correction,
    })
    const reasons = new Map<string, string>()
    const decisions = decideRound({ policy: node.policy, view, state, now })
    this.#logMissingShapes(describeShapes(node.policy.plan.missing))
    const moves = listMoves(state, views)
    for (const decision of [...moves, ...decisions]) {
      if (signal.aborted) return
      if (decision.kind === 'place') await this.#place(decision, views)
      else if (decision.kind === 'preempt') await this.#preempt(decision)
      else reasons.set(decision.jobId, decision.reason)
    }
    await this.#refuseImpossible(decisions)
    this.#updateWaitReasons(reasons)
  }

  /** Commits the preemption; the resulting change of the job wakes the gang's runner, which stops it. */
  async #preempt(decision: Preemption): Promise<void> {
    const { log, logger, clock, holder } = this.#opts.node
    const { jobId, forJobId, withCheckpoint, reason } = decision
    const job = holder.state.getLiveJob(jobId)
    const fence = job?.placement?.fence
    if (job === undefined || fence === undefined || !canPreempt(job, clock.now())) return
    const at = clock.now().toISOString()
    const command = { type: 'job.preempt' as const, at, jobId, fence, withCheckpoint, reason }
    const proposed = forJobId === undefined ? command : { ...command, forJobId }
    const outcome = (await log.propose(proposed).run()).chain(readJob)
    outcome.caseOf({
      Left: (error) => {
        logger.warn({ event: 'placement.preempt-refused', jobId, forJobId, reason: error.message })
      },
      Right: () => {
        logger.info({ event: 'placement.preempted', jobId, forJobId, withCheckpoint, reason })
      },
    })
  }

  /** Ends jobs that placement has refused for long enough; until then they wait. */
  async #refuseImpossible(decisions: readonly RoundDecision[]): Promise<void> {
    const { log, logger, clock } = this.#opts.node
    if (!this.#opts.knowsUpstreams()) return
    for (const { jobId, reason } of this.#impossible.listOverdue(decisions)) {
      const at = clock.now().toISOString()
      await log.propose({ type: 'job.refuse', at, jobId, reason }).run()
      logger.warn({ event: 'placement.impossible', jobId, reason })
    }
  }

  async #place(decision: PlaceDecision, views: readonly UpstreamView[]): Promise<void> {
    const { node, gangs } = this.#opts
    const { jobId, reason, blocks } = decision
    const viewsById = new Map(views.map((view) => [view.upstreamId, view]))
    const assignments = blocks.map(({ upstreamId, acceleratorIndexes }) => {
      const { address = '', dataCentre } = viewsById.get(upstreamId) ?? {}
      return { upstreamId, address, dataCentre, acceleratorIndexes: [...acceleratorIndexes] }
    })
    const at = node.clock.now().toISOString()
    const outcome = await node.log
      .propose({ type: 'job.place', at, jobId, assignments, reason })
      .run()
    const job = outcome.chain(readJob)
    const upstreams = blocks.map((block) => block.upstreamId)
    job.caseOf({
      Left: (error) => {
        node.logger.warn({ event: 'placement.refused', jobId, upstreams, reason: error.message })
      },
      Right: (placed) => {
        const fence = placed.placement?.fence
        node.logger.info({ event: 'placement.decided', jobId, upstreams, fence, reason })
        gangs.start(placed)
      },
    })
  }

  /**
   * Logs an error when guaranteed shapes lack accelerators, and an info line when none lacks any more. Says nothing while
   * upstreams may not have had the time to announce themselves.
   */
  #logMissingShapes(missing: string): void {
    if (missing === this.#missingShapes || !this.#opts.knowsUpstreams()) return
    this.#missingShapes = missing
    const { logger } = this.#opts.node
    if (missing === '') logger.info({ event: 'plan.feasible' })
    else logger.error({ event: 'plan.infeasible', missing })
  }

  #updateWaitReasons(reasons: Map<string, string>): void {
    const { logger } = this.#opts.node
    const changed = [...reasons].filter(([id, reason]) => this.#waitReasons.get(id) !== reason)
    for (const [jobId, reason] of changed.slice(0, waitLogLinesMax)) {
      logger.info({ event: 'placement.waits', jobId, reason })
    }
    const more = changed.length - waitLogLinesMax
    if (more > 0) logger.info({ event: 'placement.more-wait', jobs: more })
    this.#waitReasons = reasons
  }

  /** Returns the time until the next tick, or until the `retryAt` of a queued job if that is sooner. */
  #computePauseMs(): number {
    const { holder, clock } = this.#opts.node
    const nowMs = clock.now().getTime()
    const due = holder.state
      .listLiveJobs()
      .filter((job) => job.state === 'queued' && job.retryAt !== undefined)
      .map((job) => Date.parse(job.retryAt ?? '') - nowMs)
      .filter((leftMs) => leftMs > 0)
    return Math.min(tickMs, minOf(due))
  }
}
