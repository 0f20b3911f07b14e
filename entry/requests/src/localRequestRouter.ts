/**
 * Routes short requests from this entry to upstreams without asking another process. An attempt whose answer
 * was lost may have run: it is retried only if the request is repeatable, else reported as `outcome-unknown`.
 */
import { randomUUID } from 'node:crypto'
import type { Readable } from 'node:stream'
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError, toNettlespurError, tryAsync, unwrap } from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import type { ClusterView } from '@nettlespur/entry.view'
import type { EitherAsync } from 'purify-ts'
import { runAfterAnswer } from './runAfterAnswer.js'
import { RateLimiter } from './rateLimiter.js'
import type { RequestQueue } from './requestQueue.js'
import { RequestRouter } from './requestRouter.js'
import type { ShortAnswer, ShortRequest } from './shortRequest.js'
import type { TaskOutcome, TaskTransport } from './taskTransport.js'
import type { SlotGrant } from './workspaceLine.js'
import type { WorkspaceQuota, WorkspaceQuotas } from './workspaceQuotas.js'

const attemptsMax = 3
const retryAfterMs = 1000

export interface LocalRequestRouterOptions {
  clock: Clock
  logger: Logger
  metrics: MetricsRegistry
  view: ClusterView
  quotas: WorkspaceQuotas
  queue: RequestQueue
  transport: TaskTransport
}

/** State of a request across its attempts. */
interface Progress {
  readonly request: ShortRequest
  readonly taskId: string
  readonly tried: Set<string>
  attempt: number
  /** Error of the last attempt that may have run; undefined if there was none. */
  lost: NettlespurError | undefined
}

type FailedOutcome = Exclude<TaskOutcome, { kind: 'answered' }>

export class LocalRequestRouter extends RequestRouter {
  readonly #opts: LocalRequestRouterOptions
  readonly #rateLimits: RateLimiter
  readonly #retryBudget: RateLimiter
  readonly #abandoned = new AbortController()

  constructor(opts: LocalRequestRouterOptions) {
    super()
    this.#opts = opts
    this.#rateLimits = new RateLimiter(opts.clock)
    this.#retryBudget = new RateLimiter(opts.clock)
  }

  override run(request: ShortRequest): EitherAsync<NettlespurError, ShortAnswer> {
    return tryAsync(() => this.#observe(request))
  }

  override abandonAll(): void {
    this.#abandoned.abort()
    this.#opts.queue.shutDown(createAbandonedError())
  }

  async #observe(request: ShortRequest): Promise<ShortAnswer> {
    const startedMs = this.#opts.clock.monotonicMs()
    try {
      const answer = await this.#serve(request)
      this.#opts.metrics.count('requests_answered_total')
      this.#opts.metrics.recordMs('request_ms', this.#opts.clock.monotonicMs() - startedMs)
      return answer
    } catch (thrown) {
      const error = toNettlespurError(thrown)
      this.#opts.metrics.count(`requests_refused_total{kind="${error.kind}"}`)
      this.#logRefusal(request, error)
      throw error
    }
  }

  async #serve(request: ShortRequest): Promise<ShortAnswer> {
    this.#admit(request)
    const slot = await unwrap(this.#opts.queue.enter(request))
    const leave = (): void => {
      this.#opts.queue.leave(request.workspace)
    }
    const serving = this.#attemptAll(request, slot)
    runAfterAnswer(serving, (answer) => answer.body, leave)
    return serving
  }

  #admit(request: ShortRequest): void {
    const lapsed = this.#opts.view.lease.getRefusal()
    if (lapsed !== undefined) throw lapsed
    const quota = this.#quotaOf(request.workspace)
    const rate = { perSecond: quota.requestsPerSecond, burst: quota.requestBurst }
    const refusal = this.#rateLimits.acquire(request.workspace, rate)
    if (refusal !== undefined) throw refusal
  }

  #quotaOf(workspace: string): WorkspaceQuota {
    const quota = this.#opts.quotas.quotaOf(workspace)
    if (quota !== undefined) return quota
    throw new NettlespurError('unknown-workspace', `no contract for workspace ${workspace}`)
  }

  async #attemptAll(request: ShortRequest, first: SlotGrant): Promise<ShortAnswer> {
    const progress: Progress = {
      request,
      taskId: `request-${randomUUID()}`,
      tried: new Set(),
      attempt: 1,
      lost: undefined,
    }
    let slot = first
    for (;;) {
      const outcome = await this.#attemptOn(progress, slot)
      if (outcome.kind === 'answered') return createAnswer(progress, slot, outcome)
      this.#noteFailure(progress, slot, outcome)
      this.#checkRetry(progress, outcome)
      slot = await this.#nextSlot(progress)
      progress.attempt += 1
    }
  }

  #attemptOn(progress: Progress, slot: SlotGrant): Promise<TaskOutcome> {
    const running = this.#dispatch(progress, slot)
    runAfterAnswer(running, readStreamOf, () => {
      this.#opts.queue.releaseSlot(slot.upstream.upstreamId)
    })
    return running
  }

  async #dispatch(progress: Progress, slot: SlotGrant): Promise<TaskOutcome> {
    const { request, taskId, attempt } = progress
    const { upstream } = slot
    const fence = (await request.claim?.commit({ upstream, taskId, attempt })) ?? slot.fence
    this.#logRouted(progress, { ...slot, fence })
    return this.#opts.transport.run({
      ...request,
      upstreamId: upstream.upstreamId,
      taskId,
      attempt,
      address: upstream.address,
      fence,
      givenUp: this.#abandoned.signal,
      timeoutMs: Math.max(1, request.deadlineAtMs - this.#opts.clock.monotonicMs()),
    })
  }

  #noteFailure(progress: Progress, slot: SlotGrant, outcome: FailedOutcome): void {
    progress.tried.add(slot.upstream.upstreamId)
    if (outcome.kind === 'lost') progress.lost = outcome.error
    this.#opts.metrics.count(`request_attempts_failed_total{outcome="${outcome.kind}"}`)
    this.#opts.logger.warn({
      event: 'request.attempt-failed',
      taskId: progress.taskId,
      attempt: progress.attempt,
      upstreamId: slot.upstream.upstreamId,
      outcome: outcome.kind,
      kind: outcome.error.kind,
      reason: outcome.error.message,
    })
  }

  /** Throws the final error if the request may not be retried. */
  #checkRetry(progress: Progress, outcome: FailedOutcome): void {
    const { request } = progress
    if (progress.lost !== undefined && !request.repeatable)
      throw createFinalError(progress, outcome)
    const unwanted = request.callerGone.aborted || this.#abandoned.signal.aborted
    const spent = progress.attempt >= attemptsMax
    if (unwanted || spent || (outcome.kind === 'lost' && !this.#takeRetry(request.workspace))) {
      throw createFinalError(progress, outcome)
    }
  }

  /** Takes a token of the retry budget, for attempts that may have run: the others cost an upstream nothing. */
  #takeRetry(workspace: string): boolean {
    const perSecond = this.#quotaOf(workspace).retriesPerSecond
    const rate = { perSecond, burst: Math.max(1, perSecond) }
    return perSecond > 0 && this.#retryBudget.acquire(workspace, rate) === undefined
  }

  async #nextSlot(progress: Progress): Promise<SlotGrant> {
    const slot = await this.#opts.queue.enterAgain(progress.request, progress.tried).run()
    if (slot.isRight()) return slot.extract()
    const error = toNettlespurError(slot.extract())
    throw progress.lost === undefined ? error : createUnknownError(progress.lost)
  }

  #logRouted(progress: Progress, slot: SlotGrant): void {
    this.#opts.logger.info({
      event: 'request.routed',
      workspace: progress.request.workspace,
      taskId: progress.taskId,
      attempt: progress.attempt,
      upstreamId: slot.upstream.upstreamId,
      fence: slot.fence,
      repeatable: progress.request.repeatable,
      reason: slot.reason,
    })
  }

  #logRefusal(request: ShortRequest, error: NettlespurError): void {
    this.#opts.logger.info({
      event: 'request.refused',
      workspace: request.workspace,
      kind: error.kind,
      ran: error.answer.ran,
      reason: error.message,
    })
  }
}

function createAnswer(
  progress: Progress,
  slot: SlotGrant,
  outcome: Extract<TaskOutcome, { kind: 'answered' }>,
): ShortAnswer {
  const { taskId, attempt } = progress
  return { ...outcome.answer, taskId, attempt, upstreamId: slot.upstream.upstreamId }
}

function readStreamOf(outcome: TaskOutcome): Buffer | Readable | undefined {
  return outcome.kind === 'answered' ? outcome.answer.body : undefined
}

function createAbandonedError(): NettlespurError {
  const message = 'this entry stopped before the request could start'
  return new NettlespurError('draining', message, { retryAfterMs })
}

function createFinalError(progress: Progress, outcome: FailedOutcome): NettlespurError {
  if (progress.lost !== undefined) return createUnknownError(progress.lost)
  const kind = outcome.kind === 'not-sent' ? 'no-upstream' : 'upstream-refused'
  return new NettlespurError(kind, outcome.error.message, { retryAfterMs, cause: outcome.error })
}

function createUnknownError(lost: NettlespurError): NettlespurError {
  return new NettlespurError('outcome-unknown', lost.message, {
    hint: 'it may have run: ask the service itself before sending it again',
    cause: lost,
  })
}
