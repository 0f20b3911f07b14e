/**
 * Routes requests. One that must not run twice is claimed under its key before it is sent; a resend through
 * any entry finds that claim and gets its outcome. "Not run" is reported only if no attempt so far under the
 * key has run or can still run, not just the attempts of this request.
 */
import { createHash } from 'node:crypto'
import { claimAnswerBytesMax, type Claim, type ClaimOutcome } from '@nettlespur/api.schemas'
import type { ControlApi } from '@nettlespur/control.api'
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError, toNettlespurError, tryAsync } from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'
import { RequestRouter, type ShortAnswer, type ShortRequest } from '@nettlespur/entry.requests'
import type { EitherAsync } from 'purify-ts'
import type { AnswerCollector } from './answerCollector.js'
import { ClaimChangeSender } from './claimChangeSender.js'
import { createOutcomeUnknownError, OutcomeReader } from './outcomeReader.js'
import { RequestClaim } from './requestClaim.js'

/** How long recording an outcome at control is retried; after that control asks the upstream for it. */
const recordTimeoutMs = 10_000

export interface ClaimingRouterOptions {
  clock: Clock
  logger: Logger
  control: Pick<ControlApi, 'changeClaims' | 'awaitClaim'>
  collector: AnswerCollector
  entryId: string
  /** Sends the requests, and commits the claim of a request before each attempt. */
  router: RequestRouter
}

export class ClaimingRouter extends RequestRouter {
  readonly #opts: ClaimingRouterOptions
  readonly #changes: ClaimChangeSender
  readonly #abandoned = new AbortController()
  readonly #outcomes: OutcomeReader
  /** Tasks in progress in this process, whose outcomes are not recorded yet. */
  readonly #activeTaskIds = new Set<string>()
  readonly #pendingRecords = new Set<Promise<void>>()

  constructor(opts: ClaimingRouterOptions) {
    super()
    this.#opts = opts
    this.#changes = new ClaimChangeSender(opts.clock, opts.control)
    this.#outcomes = new OutcomeReader({ ...opts, abandoned: this.#abandoned.signal })
  }

  override run(request: ShortRequest): EitherAsync<NettlespurError, ShortAnswer> {
    if (request.repeatable) return this.#opts.router.run(request)
    return tryAsync(() => this.#runClaimed(request))
  }

  override abandonAll(): void {
    this.#abandoned.abort()
    this.#opts.router.abandonAll()
  }

  /** Resolves once each pending outcome is recorded, or recording it has failed. */
  async flush(): Promise<void> {
    await Promise.all(this.#pendingRecords)
  }

  async #runClaimed(request: ShortRequest): Promise<ShortAnswer> {
    const { key } = request
    if (key === undefined) throw createNoKeyError()
    const tasks: string[] = []
    const claim = this.#createClaim(request, key, tasks)
    const result = await this.#opts.router.run({ ...request, claim }).run()
    if (result.isRight()) {
      const answer = result.unsafeCoerce()
      this.#recordInBackground(claim, tasks, toOutcome(answer))
      return answer
    }
    const error = toNettlespurError(result.extract())
    if (
      claim.committed !== undefined &&
      claim.existing === undefined &&
      error.answer.ran !== 'no'
    ) {
      // Recorded as unknown at once, so that control asks the upstream before this request's deadline.
      this.#recordInBackground(claim, tasks, { kind: 'unknown', reason: error.message })
      return this.#outcomes.read(request, claim.committed)
    }
    try {
      return await this.#answerUnsent(request, key, claim, error)
    } finally {
      this.#forgetTasks(tasks)
    }
  }

  #createClaim(request: ShortRequest, key: string, tasks: string[]): RequestClaim {
    const { clock, entryId } = this.#opts
    return new RequestClaim({
      changes: this.#changes,
      entryId,
      workspace: request.workspace,
      key,
      bodySha256: hashBody(request.body),
      deadlineAtMs: request.deadlineAtMs,
      monotonicMs: () => clock.monotonicMs(),
      onTask: (taskId) => {
        tasks.push(taskId)
        this.#activeTaskIds.add(taskId)
      },
    })
  }

  /** Answers a request of which this process sent nothing, or nothing that an upstream accepted. */
  async #answerUnsent(
    request: ShortRequest,
    key: string,
    claim: RequestClaim,
    error: NettlespurError,
  ): Promise<ShortAnswer> {
    if (claim.existing !== undefined) return this.#readFound(request, claim.existing)
    if (claim.committed !== undefined)
      return this.#settleNotRun(request, claim, claim.committed, error)
    if (claim.hasAskedControl) {
      throw error.answer.isTransient ? createOutcomeUnknownError(error.message, error) : error
    }
    const known = await this.#outcomes.find(request, key)
    if (known === null || known.outcome?.kind === 'not-run') throw error
    return this.#readFound(request, known)
  }

  async #settleNotRun(
    request: ShortRequest,
    claim: RequestClaim,
    held: Claim,
    error: NettlespurError,
  ): Promise<ShortAnswer> {
    const { clock } = this.#opts
    const endMs = Math.max(request.deadlineAtMs, clock.monotonicMs())
    const outcome = { kind: 'not-run' as const, reason: error.message }
    const settled = await tryAsync(() => claim.settle(held, outcome, endMs)).run()
    if (settled.isLeft())
      throw createOutcomeUnknownError('control did not confirm that its claim is settled')
    const known = settled.unsafeCoerce()
    if (known.outcome?.kind === 'not-run') throw error
    return this.#readFound(request, known)
  }

  async #readFound(request: ShortRequest, found: Claim): Promise<ShortAnswer> {
    if (found.bodySha256 !== hashBody(request.body)) {
      throw new NettlespurError('idempotency-conflict', 'the key was used with another body')
    }
    await this.#releaseOrphan(request, found)
    return this.#outcomes.read(request, found)
  }

  /**
   * Settles a claim of this entry as unknown if no task of this process belongs to it: an earlier process of the
   * entry left it behind, and control then asks the upstream for its outcome.
   */
  async #releaseOrphan(request: ShortRequest, { outcome, ...found }: Claim): Promise<void> {
    const { entryId } = this.#opts
    const isOrphan = found.entryId === entryId && !this.#activeTaskIds.has(found.target.taskId)
    if (outcome !== undefined || !isOrphan) return
    const { workspace, key, fence } = found
    const unknown = { kind: 'unknown' as const, reason: 'its entry has restarted' }
    const change = { type: 'settle' as const, workspace, key, fence, outcome: unknown }
    await tryAsync(() => this.#changes.commit(change, request.deadlineAtMs)).run()
  }

  /** Records an outcome at control without delaying the caller's answer. */
  #recordInBackground(claim: RequestClaim, tasks: readonly string[], outcome: ClaimOutcome): void {
    const { committed: held } = claim
    if (held === undefined) return
    const endMs = this.#opts.clock.monotonicMs() + recordTimeoutMs
    const recorded = claim
      .settle(held, outcome, endMs)
      .then(
        () => undefined,
        (thrown: unknown) => {
          const reason = toNettlespurError(thrown).message
          const { taskId } = held.target
          this.#opts.logger.warn({ event: 'claim.not-recorded', taskId, reason })
        },
      )
      .finally(() => {
        this.#forgetTasks(tasks)
        this.#pendingRecords.delete(recorded)
      })
    this.#pendingRecords.add(recorded)
  }

  #forgetTasks(tasks: readonly string[]): void {
    for (const taskId of tasks) this.#activeTaskIds.delete(taskId)
  }
}

function hashBody(body: Buffer): string {
  return createHash('sha256').update(body).digest('hex')
}

/** Leaves out a body that is streamed or too large for a claim; a resend collects it from its upstream. */
function toOutcome({ status, contentType, body, lengthBytes }: ShortAnswer): ClaimOutcome {
  const isKept = Buffer.isBuffer(body) && body.length <= claimAnswerBytesMax
  return {
    kind: 'answered',
    status,
    ...(contentType === undefined ? {} : { contentType }),
    bodyBytes: lengthBytes,
    ...(isKept ? { bodyBase64: body.toString('base64') } : {}),
  }
}

function createNoKeyError(): NettlespurError {
  return new NettlespurError('invalid-field', 'header idempotency-key: is required', {
    hint: 'give each request its own key, or send nettlespur-repeatable: true if it may run twice',
  })
}
