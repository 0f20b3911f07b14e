/**
 * Runs one placed gang as one sequence of steps: reserve all members, commit the start before it is sent,
 * start, renew until the end, collect the answer, commit the end. If any step fails, all members are stopped
 * before their accelerators are released.
 */
import type { Placement } from '@nettlespur/api.schemas'
import type { Command, CommandResult, JobRecord } from '@nettlespur/control.state'
import { minOf } from '@nettlespur/core.lists'
import { filter, type BehaviorSubject } from 'rxjs'
import { chooseCommand } from './chooseCommand.js'
import { collectAnswer } from './collectAnswer.js'
import { createReserveBody } from './createReserveBody.js'
import type { EndedGangLog } from './endedGangLog.js'
import { GangMember } from './gangMember.js'
import type { GangOptions } from './gangOptions.js'
import { confirmLoss, evaluateMembers, type GangOutcome, type GangStopped } from './gangOutcome.js'
import { LeaderLog } from './leaderLog.js'
import type { RetryBudget } from './retryBudget.js'
import { takeCheckpoint } from './takeCheckpoint.js'
import { waitForWake } from './waitForWake.js'

const firstPollMs = 50
/** Tries to commit the end of a job: a cancel in between may cause a refusal, so each try chooses anew. */
const endCommitTriesMax = 3

/** Dependencies of one runner: all but `wake` are shared by the gangs of a manager. */
export interface GangContext {
  readonly opts: GangOptions
  readonly retries: RetryBudget
  readonly endedLog: EndedGangLog
  /** Incremented when the job, one of its tasks or one of its upstreams has changed. */
  readonly wake: BehaviorSubject<number>
  /** Ends the run without further calls; the next leader takes the gang over. */
  readonly signal: AbortSignal
}

export class GangRunner {
  readonly #context: GangContext
  readonly #opts: GangOptions
  readonly #jobId: string
  readonly #placement: Placement
  readonly #members: readonly GangMember[]
  readonly #log: LeaderLog
  readonly #signal: AbortSignal
  /** Monotonic time of the start; undefined if another leader committed it. */
  #startedMs: number | undefined

  constructor(context: GangContext, job: JobRecord, placement: Placement) {
    const { fence, members } = placement
    const { opts, signal } = context
    this.#context = context
    this.#opts = opts
    this.#jobId = job.jobId
    this.#placement = placement
    this.#members = members.map((member) => new GangMember(opts, job, member, fence))
    this.#log = new LeaderLog(opts, signal)
    this.#signal = signal
  }

  /** Runs a newly placed gang. */
  async run(job: JobRecord): Promise<void> {
    const refusal = await this.#reserveAll(job)
    const startFailure = refusal ?? (await this.#commitStart())
    const outcome = startFailure ?? (await this.#renewUntilEnd())
    await this.#stopAndCommitEnd(outcome)
  }

  /** Takes over a placed gang: stops it if it has not started, else completes a pending stop or continues it. */
  async resume(job: JobRecord): Promise<void> {
    for (const member of this.#members) member.adopt()
    const outcome = (await this.#completePendingStop(job)) ?? (await this.#renewUntilEnd())
    await this.#stopAndCommitEnd(outcome)
  }

  /** Completes a stop or a preemption that is pending. Returns undefined if the gang is to run on. */
  async #completePendingStop(job: JobRecord): Promise<GangStopped | undefined> {
    const startSent = job.startCommitted
    if (startSent && job.preemption !== undefined) return this.#preempt(job)
    if (job.state === 'running') return undefined
    const stop = this.#createStopOutcome(job, startSent)
    return stop ?? { kind: 'lost', reason: 'its leader was lost before the start', startSent }
  }

  async #reserveAll(job: JobRecord): Promise<GangStopped | undefined> {
    const { taskLeaseMs } = this.#opts.timings
    const answers = await Promise.all(
      this.#members.map((member, rank) => {
        return member.reserve(createReserveBody(job, this.#placement, rank, taskLeaseMs))
      }),
    )
    this.#signal.throwIfAborted()
    for (const [rank, member] of this.#members.entries()) {
      const error = answers[rank]?.swap().toMaybe().extractNullable()
      if (member.state === 'reserved') continue
      const cause = error?.message ?? `the task is ${member.state ?? 'silent'}`
      const reason = `${member.upstreamId} did not reserve: ${cause}`
      return { kind: 'lost', reason, startSent: false }
    }
    return undefined
  }

  /** Commits the start of every job, repeatable or not, so that a later leader knows what may have run. */
  async #commitStart(): Promise<GangStopped | undefined> {
    const { fence } = this.#placement
    const at = this.#opts.clock.now().toISOString()
    const result = await this.#log.commit({ type: 'job.started', at, jobId: this.#jobId, fence })
    this.#startedMs = this.#opts.clock.monotonicMs()
    if (result.type !== 'refused') return undefined
    const job = this.#readJob()
    if (job?.state === 'running') return undefined
    const lost = { kind: 'lost' as const, reason: result.error.message, startSent: false }
    return (job && this.#createStopOutcome(job, false)) ?? lost
  }

  /** Starts the members and renews their leases until the gang has an outcome. */
  async #renewUntilEnd(): Promise<GangOutcome> {
    const { clock, timings } = this.#opts
    let pauseMs = firstPollMs
    const { wake } = this.#context
    for (;;) {
      const seen = wake.value
      await Promise.all(this.#members.map((member) => member.renewAndStart()))
      this.#signal.throwIfAborted()
      const ranMs = clock.monotonicMs() - (this.#startedMs ?? Number.NEGATIVE_INFINITY)
      const verdict = evaluateMembers(this.#members, ranMs)
      if (verdict === 'finished') return collectAnswer(this.#opts, this.#members, this.#signal)
      if (verdict !== undefined) return verdict
      const stop = await this.#checkStopRequest()
      if (stop !== undefined) return stop
      const dueMs = Math.min(pauseMs, minOf(this.#members.map((member) => member.renewalDueMs)))
      const woken = wake.pipe(filter((version) => version > seen))
      await waitForWake(clock, dueMs, woken, this.#signal)
      this.#signal.throwIfAborted()
      pauseMs = Math.min(pauseMs * 2, timings.renewTasksEveryMs)
    }
  }

  /** Stops all members unless the gang has finished, then commits the end or the requeueing of the job. */
  async #stopAndCommitEnd(outcome: GangOutcome): Promise<void> {
    if (outcome.kind === 'lost' || outcome.kind === 'silent') await this.#log.confirmLeadership()
    const finalOutcome = outcome.kind === 'finished' ? outcome : await this.#stopAll(outcome)
    for (let tries = 0; tries < endCommitTriesMax; tries++) {
      const job = this.#readJob()
      if (job === undefined) return
      const command = this.#chooseEndCommand(job, finalOutcome)
      const result = await this.#log.commit(command)
      this.#logEnd(command, result)
      if (result.type !== 'refused') return
      if (result.error.kind === 'body-too-large') {
        await this.#stopAndCommitEnd({
          kind: 'failed',
          reason: result.error.message,
          startSent: true,
        })
        return
      }
    }
  }

  #chooseEndCommand(job: JobRecord, outcome: GangOutcome): Command {
    const { clock, random, holder } = this.#opts
    const { workspace } = job.request
    const limits = holder.state.getContract(workspace)?.contract.limits
    const retriesPerSecond = limits?.retriesPerSecond ?? 0
    return chooseCommand({
      job,
      fence: this.#placement.fence,
      outcome,
      now: clock.now(),
      random,
      retriesPerSecond,
      takeRetry: () => this.#context.retries.take(workspace, retriesPerSecond),
    })
  }

  /** Stops all members. A gang that has finished in the meantime still gives its answer, unless a member has failed. */
  async #stopAll(outcome: GangStopped): Promise<GangOutcome> {
    const stops = await Promise.all(this.#members.map((member) => member.stop(this.#signal)))
    const hasFinished = outcome.kind !== 'failed' && stops.every((stop) => stop === 'finished')
    if (hasFinished) return collectAnswer(this.#opts, this.#members, this.#signal)
    return confirmLoss(this.#members, outcome)
  }

  /** Returns the current job, or undefined if it has ended or has another placement. */
  #readJob(): JobRecord | undefined {
    const job = this.#opts.holder.state.getLiveJob(this.#jobId)
    return job?.placement?.fence === this.#placement.fence ? job : undefined
  }

  /** Checks for a cancellation or preemption of the job. Returns undefined if it is to run on. */
  async #checkStopRequest(): Promise<GangStopped | undefined> {
    const startSent = this.#members.some((member) => member.mayHaveSentStart)
    const job = this.#readJob()
    if (job === undefined) return { kind: 'cancelled', reason: 'its record is gone', startSent }
    if (job.preemption !== undefined) return this.#preempt(job)
    return this.#createStopOutcome(job, startSent)
  }

  #createStopOutcome(job: JobRecord, startSent: boolean): GangStopped | undefined {
    if (job.cancelRequested) {
      return { kind: 'cancelled', reason: 'stopped for its caller', startSent }
    }
    if (job.preemption === undefined) return undefined
    return { kind: 'preempted', reason: job.preemption.reason, startSent }
  }

  /**
   * Preempts a started gang. If no checkpoint could be taken, a job that is not repeatable runs on, as
   * stopping it would lose it.
   */
  async #preempt({ request, preemption }: JobRecord): Promise<GangStopped | undefined> {
    if (preemption === undefined) return undefined
    const { reason, withCheckpoint } = preemption
    const checkpointId = withCheckpoint
      ? await takeCheckpoint(this.#opts, this.#members, this.#signal)
      : undefined
    if (checkpointId !== undefined || request.repeatable) {
      return { kind: 'preempted', reason, startSent: true, checkpointId }
    }
    const at = this.#opts.clock.now().toISOString()
    const keptReason = 'no checkpoint of the whole gang could be taken in time; it runs on'
    await this.#log.commit({
      type: 'job.keep',
      at,
      ...this.#identifyPlacement(),
      reason: keptReason,
    })
    this.#opts.logger.warn({ event: 'gang.kept', ...this.#identifyPlacement(), reason: keptReason })
    return undefined
  }

  #logEnd(command: Command, result: CommandResult): void {
    const { logger } = this.#opts
    const head = { ...this.#identifyPlacement(), type: command.type }
    if (result.type === 'refused') {
      logger.warn({ event: 'gang.settle-refused', ...head, reason: result.error.message })
    }
    if (result.type === 'job') {
      const { state, reason } = result.job
      this.#context.endedLog.logEnd({ ...head, state, reason })
    }
  }

  #identifyPlacement(): { jobId: string; fence: number } {
    return { jobId: this.#jobId, fence: this.#placement.fence }
  }
}
