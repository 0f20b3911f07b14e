/**
 * Learns what became of claimed requests whose entry cannot tell: it died, gave up, or is past the
 * request's deadline. The upstream is asked; a task it has never seen is stopped under a higher fence, so
 * that "not run" is only recorded where the upstream has confirmed it for good.
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
import { defaultClaimLifetimeMs } from './claimCalls.js'
import type { EntryTable } from './entryTable.js'
import type { ControlNodeOptions, NodeTimings } from './nodeOptions.js'

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
      // What falls due by time waits for the tick, so that a commit costs no look at every claim's time.
      const released = holder.applied.pipe(
        filter((index) => index > seen && this.#listReleased().length > 0),
      )
      await waitForWake(clock, tickMs, released, signal)
    }
  }

  /** One round over the claims that are due now. */
  async resolveDue(signal: AbortSignal): Promise<void> {
    const due = this.#listDue().slice(0, claimsPerRoundMax)
    await Promise.all(due.map((claim) => this.#resolve(claim, signal)))
    const live = new Set(this.#opts.holder.state.listUnresolvedClaims().map(createTargetKey))
    this.#pauses = new Map([...this.#pauses].filter(([name]) => live.has(name)))
  }

  /** Those whose entry has given up, or that were taken from it, and that do not pause. */
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

  /** Undefined while the task runs. */
  async #determineOutcome(claim: Claim, signal: AbortSignal): Promise<ClaimOutcome | undefined> {
    const { address, taskId, attempt } = claim.target
    const status = await unwrap(this.#opts.client.getTask(address, taskId))
    if (signal.aborted) return undefined
    if (status.state !== 'unknown' && status.state !== 'reserved') {
      return this.#commitOutcome(claim, status)
    }
    const taken = await this.#takeOver(claim)
    if (isResolved(taken)) return taken.outcome
    // Moved or opened anew in between: what the former target says is no outcome any more.
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
          return { kind: 'not-run', reason: 'its upstream confirms it' }
        // A restarted upstream has forgotten what it ran: it can confirm nothing about the time before.
        throw new NettlespurError('outcome-unknown', 'its upstream has restarted since')
      case 'running':
      case 'reserved':
      case 'unknown':
        return undefined
    }
  }

  /** An answer too large to keep stays with its upstream, and out of this process's memory. */
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

/** One target of one claim. */
function createTargetKey({ workspace, target }: Claim): string {
  return `${workspace} ${target.taskId} ${target.attempt}`
}
