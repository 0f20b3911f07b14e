/**
 * Determines the outcome of claimed requests whose entry cannot report it, because the entry died, gave
 * up, or is past the request's deadline. The resolver asks the upstream. A task that the upstream has not
 * seen or has only reserved is stopped under a higher fence, so that `not-run` is recorded only once the
 * upstream has confirmed that the task can never run.
 */
import {
  claimAnswerBytesMax,
  type Claim,
  type ClaimOutcome,
  type TaskStatus,
} from '@nettlespur/api.schemas'
import { waitForWake } from '@nettlespur/control.gangs'
import { isResolved, readClaim } from '@nettlespur/control.state'
import { NettlespurError, toNettlespurError, tryAsync, unwrap } from '@nettlespur/core.errors'
import type { TaskReference } from '@nettlespur/upstream.client'
import { EitherAsync } from 'purify-ts'
import { filter } from 'rxjs'
import type { EntryTable } from './entryTable.js'
import { defaultClaimLifetimeMs, type ControlNodeOptions, type NodeTimings } from './nodeOptions.js'

const tickMs = 250
const shortestPauseMs = 250
const longestPauseMs = 4000
const pauseFactor = 2
const claimsPerRoundMax = 32
const statusOk = 200

interface Pause {
  readonly untilMs: number
  readonly pauseMs: number
}

export interface ClaimResolverOptions extends Pick<
  ControlNodeOptions,
  'clock' | 'logger' | 'holder'
> {
  log: Pick<ControlNodeOptions['log'], 'propose'>
  client: Pick<ControlNodeOptions['client'], 'getTask' | 'stop' | 'getTypedAnswer'>
  timings: Pick<NodeTimings, 'claimLifetimeMs'>
}

export class ClaimResolver {
  readonly #opts: ClaimResolverOptions
  readonly #entries: Pick<EntryTable, 'mayLive'>
  #pauses = new Map<string, Pause>()

  constructor(opts: ClaimResolverOptions, entries: Pick<EntryTable, 'mayLive'>) {
    this.#opts = opts
    this.#entries = entries
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, holder } = this.#opts
    while (!signal.aborted) {
      const seen = holder.state.appliedIndex
      await this.resolveDue(signal)
      // Claims that become due by time are found on the next tick, so that a commit does not have to check
      // the time of every claim.
      const released = holder.applied.pipe(
        filter((index) => index > seen && this.#listReleased().length > 0),
      )
      await waitForWake(clock, tickMs, released, signal)
    }
  }

  /** Runs one round over the claims that are due now. */
  async resolveDue(signal: AbortSignal): Promise<void> {
    const due = this.#listDue().slice(0, claimsPerRoundMax)
    await Promise.all(due.map((claim) => this.#resolve(claim, signal)))
    const live = new Set(this.#opts.holder.state.listUnresolvedClaims().map(createTargetKey))
    this.#pauses = new Map([...this.#pauses].filter(([name]) => live.has(name)))
  }

  /** Lists claims that their entry has given up, or that were taken over from it, except paused ones. */
  #listReleased(): Claim[] {
    return this.#opts.holder.state
      .listUnresolvedClaims()
      .filter((claim) => claim.outcome !== undefined && !this.#isPaused(claim))
  }

  #listDue(): Claim[] {
    const nowMs = this.#opts.clock.now().getTime()
    const isAbandoned = (claim: Claim): boolean =>
      !this.#entries.mayLive(claim.entryId) || Date.parse(claim.resolveFrom) <= nowMs
    return this.#opts.holder.state
      .listUnresolvedClaims()
      .filter((claim) => claim.outcome !== undefined || isAbandoned(claim))
      .filter((claim) => !this.#isPaused(claim))
  }

  #isPaused(claim: Claim): boolean {
    const untilMs = this.#pauses.get(createTargetKey(claim))?.untilMs ?? 0
    return untilMs > this.#opts.clock.monotonicMs()
  }

  async #resolve(claim: Claim, signal: AbortSignal): Promise<void> {
    const result = await tryAsync(() => this.#determineOutcome(claim, signal)).run()
    result.caseOf({
      Left: (error) => {
        this.#pause(claim, error.message)
      },
      Right: (outcome) => {
        if (outcome === undefined) this.#pause(claim, 'its task has not ended')
        else this.#log(claim, outcome.kind, outcome.kind === 'answered' ? '' : outcome.reason)
      },
    })
  }

  /** Returns undefined while the task runs, if the claim has a new target, or if `signal` is aborted. */
  async #determineOutcome(claim: Claim, signal: AbortSignal): Promise<ClaimOutcome | undefined> {
    const { address, taskId, attempt } = claim.target
    const status = await unwrap(this.#opts.client.getTask(address, taskId))
    if (signal.aborted) return undefined
    if (status.state !== 'unknown' && status.state !== 'reserved') {
      return this.#commitOutcome(claim, status)
    }
    const taken = await this.#takeOver(claim)
    if (isResolved(taken)) return taken.outcome
    // The claim was moved or reopened in the meantime, so the former target no longer determines its outcome.
    if (taken.target.taskId !== taskId || taken.target.attempt !== attempt) return undefined
    const stop = { address, taskId, fence: taken.fence }
    return this.#commitOutcome(
      taken,
      await unwrap(this.#opts.client.stop(stop, { jobId: taskId, graceMs: 0 })),
    )
  }

  async #takeOver({ workspace, key, fence }: Claim): Promise<Claim> {
    const at = this.#opts.clock.now().toISOString()
    const taken = this.#opts.log
      .propose({ type: 'claim.take', at, workspace, key, fence })
      .chain((result) => EitherAsync.liftEither(readClaim(result)))
    return unwrap(taken)
  }

  async #commitOutcome(claim: Claim, status: TaskStatus): Promise<ClaimOutcome | undefined> {
    const outcome = await this.#readOutcome(claim, status)
    if (outcome === undefined) return undefined
    const { log, clock, timings } = this.#opts
    const { workspace, key, fence } = claim
    const at = clock.now().toISOString()
    const change = { type: 'settle' as const, workspace, key, fence, outcome }
    const lifetimeMs = timings.claimLifetimeMs ?? defaultClaimLifetimeMs
    const settled = log
      .propose({ type: 'claim.change', at, change, lifetimeMs })
      .chain((result) => EitherAsync.liftEither(readClaim(result)))
    return (await unwrap(settled)).outcome
  }

  async #readOutcome(claim: Claim, status: TaskStatus): Promise<ClaimOutcome | undefined> {
    const { address, taskId, session } = claim.target
    switch (status.state) {
      case 'finished':
        return this.#collectAnswer(
          { address, taskId, fence: status.fence },
          status.answerBytes ?? 0,
        )
      case 'failed':
      case 'stopped':
      case 'lease-expired':
        return { kind: 'failed', reason: status.failure ?? `its task is ${status.state}` }
      case 'never-runs':
        if (status.session === session)
          return { kind: 'not-run', reason: 'its upstream confirmed that the task never runs' }
        // A restarted upstream has lost its record of earlier tasks and cannot confirm that one never ran.
        throw new NettlespurError('outcome-unknown', 'its upstream has restarted since')
      case 'running':
      case 'reserved':
      case 'unknown':
        return undefined
    }
  }

  /** Does not fetch an answer that is too large to keep: it stays on its upstream and out of memory here. */
  async #collectAnswer(task: TaskReference, bodyBytes: number): Promise<ClaimOutcome> {
    if (bodyBytes > claimAnswerBytesMax) return { kind: 'answered', status: statusOk, bodyBytes }
    const collected = await this.#opts.client.getTypedAnswer(task).run()
    if (collected.isLeft()) {
      const error = toNettlespurError(collected.extract())
      if (error.kind !== 'answer-expired') throw error
      return { kind: 'failed', reason: 'it ran; its upstream no longer keeps the answer' }
    }
    const { contentType, body } = collected.unsafeCoerce()
    return {
      kind: 'answered',
      status: statusOk,
      ...(contentType === undefined ? {} : { contentType }),
      bodyBytes: body.length,
      bodyBase64: body.toString('base64'),
    }
  }

  #pause(claim: Claim, reason: string): void {
    const former = this.#pauses.get(createTargetKey(claim))?.pauseMs ?? 0
    const pauseMs = Math.min(longestPauseMs, Math.max(shortestPauseMs, former * pauseFactor))
    this.#pauses.set(createTargetKey(claim), {
      pauseMs,
      untilMs: this.#opts.clock.monotonicMs() + pauseMs,
    })
    this.#log(claim, 'open', reason)
  }

  #log({ workspace, target }: Claim, outcome: ClaimOutcome['kind'] | 'open', reason: string): void {
    const { taskId, upstreamId } = target
    this.#opts.logger.info({
      event: outcome === 'open' ? 'claim.unresolved' : 'claim.resolved',
      workspace,
      taskId,
      upstreamId,
      outcome,
      reason,
    })
  }
}

/** Identifies one target of one claim, so that a claim that moves to a new target starts without a pause. */
function createTargetKey({ workspace, target }: Claim): string {
  return `${workspace} ${target.taskId} ${target.attempt}`
}
