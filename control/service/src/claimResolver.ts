/**
 * Learns what became of claimed requests whose entry cannot tell: it died, gave up, or is past the
 * request's deadline. The upstream is asked; a task it has never seen is stopped under a higher fence, so
 * that "not run" is only recorded where the upstream has confirmed it for good.
 */
import type { Claim, ClaimOutcome, TaskStatus } from '@nettlespur/api.schemas'
import { waitForWake } from '@nettlespur/control.gangs'
import { isResolved, readClaim } from '@nettlespur/control.state'
import { NettlespurError, toNettlespurError, tryAsync, unwrap } from '@nettlespur/core.errors'
import { EitherAsync } from 'purify-ts'
import { filter } from 'rxjs'
import { defaultClaimLifetimeMs } from './claimCalls.js'
import type { EntryTable } from './entryTable.js'
import type { ControlNodeOptions, NodeTimings } from './nodeOptions.js'

const tickMs = 250
const shortestPauseMs = 250
const longestPauseMs = 4000
const pauseFactor = 2
const resolvedAtOnce = 32
const statusOk = 200
const collectedType = 'application/octet-stream'

interface Pause {
  readonly untilMs: number
  readonly pauseMs: number
}

export interface ClaimResolverOptions extends Pick<
  ControlNodeOptions,
  'clock' | 'logger' | 'holder'
> {
  log: Pick<ControlNodeOptions['log'], 'propose'>
  client: Pick<ControlNodeOptions['client'], 'getTask' | 'stop' | 'getAnswer'>
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
      const news = holder.applied.pipe(
        filter((index) => index > seen && this.#listDue().length > 0),
      )
      await waitForWake(clock, tickMs, news, signal)
    }
  }

  /** One round over the claims that are due now. */
  async resolveDue(signal: AbortSignal): Promise<void> {
    const due = this.#listDue().slice(0, resolvedAtOnce)
    await Promise.all(due.map((claim) => this.#resolve(claim, signal)))
    const live = new Set(this.#opts.holder.state.listUnresolvedClaims().map(nameOf))
    this.#pauses = new Map([...this.#pauses].filter(([name]) => live.has(name)))
  }

  #listDue(): Claim[] {
    const { clock, holder } = this.#opts
    const wallMs = clock.now().getTime()
    const isDue = (claim: Claim): boolean =>
      (this.#pauses.get(nameOf(claim))?.untilMs ?? 0) <= clock.monotonicMs() &&
      (claim.outcome !== undefined ||
        !this.#entries.mayLive(claim.entryId) ||
        Date.parse(claim.resolveFrom) <= wallMs)
    return holder.state.listUnresolvedClaims().filter(isDue)
  }

  async #resolve(claim: Claim, signal: AbortSignal): Promise<void> {
    const learned = await tryAsync(() => this.#learn(claim, signal)).run()
    learned.caseOf({
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
  async #learn(claim: Claim, signal: AbortSignal): Promise<ClaimOutcome | undefined> {
    const { address, taskId, attempt } = claim.target
    const status = await unwrap(this.#opts.client.getTask(address, taskId))
    if (signal.aborted) return undefined
    if (status.state !== 'unknown' && status.state !== 'reserved') {
      return this.#settle(claim, status)
    }
    const taken = await this.#take(claim)
    if (isResolved(taken)) return taken.outcome
    // Moved or opened anew in between: what the former target says is no outcome any more.
    if (taken.target.taskId !== taskId || taken.target.attempt !== attempt) return undefined
    const stop = { address, taskId, fence: taken.fence }
    return this.#settle(
      taken,
      await unwrap(this.#opts.client.stop(stop, { jobId: taskId, graceMs: 0 })),
    )
  }

  async #take({ workspace, key, fence }: Claim): Promise<Claim> {
    const at = this.#opts.clock.now().toISOString()
    const taken = this.#opts.log
      .propose({ type: 'claim.take', at, workspace, key, fence })
      .chain((result) => EitherAsync.liftEither(readClaim(result)))
    return unwrap(taken)
  }

  async #settle(claim: Claim, status: TaskStatus): Promise<ClaimOutcome | undefined> {
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
        return this.#collect({ address, taskId, fence: status.fence })
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

  async #collect(task: { address: string; taskId: string; fence: number }): Promise<ClaimOutcome> {
    const collected = await this.#opts.client.getAnswer(task).run()
    if (collected.isLeft()) {
      const error = toNettlespurError(collected.extract())
      if (error.kind !== 'answer-expired') throw error
      return { kind: 'failed', reason: 'it ran; its upstream no longer keeps the answer' }
    }
    const body = collected.unsafeCoerce()
    return {
      kind: 'answered',
      status: statusOk,
      contentType: collectedType,
      bodyBytes: body.length,
      bodyBase64: body.toString('base64'),
    }
  }

  #pause(claim: Claim, reason: string): void {
    const former = this.#pauses.get(nameOf(claim))?.pauseMs ?? 0
    const pauseMs = Math.min(longestPauseMs, Math.max(shortestPauseMs, former * pauseFactor))
    this.#pauses.set(nameOf(claim), {
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
function nameOf({ workspace, target }: Claim): string {
  return `${workspace} ${target.taskId} ${target.attempt}`
}
