/** Answers a request from the outcome of its claim, and waits for the outcome where none is recorded yet. */
import type { Claim, ClaimAnswer, ClaimOutcome } from '@nettlespur/api.schemas'
import type { ControlApi } from '@nettlespur/control.api'
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError, toNettlespurError } from '@nettlespur/core.errors'
import type { ShortAnswer, ShortRequest } from '@nettlespur/entry.requests'
import type { TypedAnswer } from '@nettlespur/upstream.client'
import type { AnswerCollector } from './answerCollector.js'

const awaitCallMsMax = 1000
const retryPauseMs = 100
const retryAfterMs = 1000
const resendHint = 'send it again with the same key and body to get its outcome'

export interface OutcomeReaderOptions {
  clock: Clock
  control: Pick<ControlApi, 'awaitClaim'>
  collector: AnswerCollector
  /** When aborted, `read` stops waiting for an outcome and throws `outcome-unknown`. */
  abandoned: AbortSignal
}

export class OutcomeReader {
  readonly #opts: OutcomeReaderOptions

  constructor(opts: OutcomeReaderOptions) {
    this.#opts = opts
  }

  /** Returns the current claim of the key; null if there is none. Throws `outcome-unknown` if control gives neither. */
  async find(request: ShortRequest, key: string): Promise<Claim | null> {
    const { clock } = this.#opts
    const endMs = Math.max(request.deadlineAtMs, clock.monotonicMs())
    return this.#queryClaim(request.workspace, key, 0, endMs)
  }

  /** Waits for the outcome until the request's deadline. Returns an answer; throws an error for any other outcome. */
  async read(request: ShortRequest, claim: Claim): Promise<ShortAnswer> {
    const { clock, abandoned } = this.#opts
    const stopSignal = AbortSignal.any([request.callerGone, abandoned])
    const stopped = whenAborted(stopSignal)
    let known: Claim | null = claim
    for (;;) {
      if (known === null) throw createOutcomeUnknownError('control no longer keeps its claim')
      const { outcome } = known
      if (outcome !== undefined && outcome.kind !== 'unknown') {
        return this.#toAnswer(request, known, outcome)
      }
      const remainingMs = request.deadlineAtMs - clock.monotonicMs()
      if (stopSignal.aborted || remainingMs <= 0) {
        throw createOutcomeUnknownError(outcome?.reason ?? 'it is still running')
      }
      const waitMs = Math.ceil(Math.min(awaitCallMsMax, remainingMs))
      const asked = this.#queryClaim(request.workspace, claim.key, waitMs, request.deadlineAtMs)
      known = await Promise.race([asked, stopped.then(() => claim)])
      if (known !== null && isOpen(known))
        await clock.sleep(Math.min(retryPauseMs, remainingMs), stopSignal)
    }
  }

  async #queryClaim(
    workspace: string,
    key: string,
    waitMs: number,
    endMs: number,
  ): Promise<Claim | null> {
    const { clock, control } = this.#opts
    for (;;) {
      const asked = await control.awaitClaim({ workspace, key, waitMs }).run()
      if (asked.isRight()) return asked.extract()
      const error = toNettlespurError(asked.extract())
      if (!error.answer.isTransient || clock.monotonicMs() + retryPauseMs >= endMs) {
        throw createOutcomeUnknownError('control did not return the claim of its key', error)
      }
      await clock.sleep(retryPauseMs)
    }
  }

  async #toAnswer(
    request: ShortRequest,
    claim: Claim,
    outcome: Exclude<ClaimOutcome, { kind: 'unknown' }>,
  ): Promise<ShortAnswer> {
    if (outcome.kind === 'failed') throw new NettlespurError('upstream-failed', outcome.reason)
    if (outcome.kind === 'not-run') {
      throw new NettlespurError('upstream-refused', outcome.reason, { retryAfterMs })
    }
    const { taskId, attempt, upstreamId } = claim.target
    const { status } = outcome
    const { contentType, body } = await this.#readAnswer(request, claim, outcome)
    const lengthBytes = body.length
    return { status, contentType, body, lengthBytes, taskId, attempt, upstreamId }
  }

  async #readAnswer(
    request: ShortRequest,
    claim: Claim,
    answer: ClaimAnswer,
  ): Promise<TypedAnswer> {
    const { contentType, bodyBase64 } = answer
    if (bodyBase64 !== undefined) return { contentType, body: Buffer.from(bodyBase64, 'base64') }
    const { clock, collector } = this.#opts
    for (;;) {
      try {
        const found = await collector.collect(claim.target)
        if (found.body.length === answer.bodyBytes) {
          return { body: found.body, contentType: contentType ?? found.contentType }
        }
        throw new NettlespurError(
          'answer-expired',
          'the answer at its upstream has another length than the recorded one',
        )
      } catch (thrown) {
        const error = toNettlespurError(thrown)
        const { isTransient } = error.answer
        if (!isTransient || clock.monotonicMs() + retryPauseMs >= request.deadlineAtMs) {
          throw new NettlespurError(
            'answer-expired',
            `it ran, but its answer could not be collected: ${error.message}`,
            {
              hint: isTransient ? resendHint : undefined,
              cause: error,
            },
          )
        }
        await clock.sleep(retryPauseMs)
      }
    }
  }
}

function whenAborted(signal: AbortSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve()
  return new Promise((resolve) => {
    const done = (): void => {
      resolve()
    }
    signal.addEventListener('abort', done, { once: true })
  })
}

function isOpen({ outcome }: Claim): boolean {
  return outcome === undefined || outcome.kind === 'unknown'
}

export function createOutcomeUnknownError(reason: string, cause?: unknown): NettlespurError {
  return new NettlespurError('outcome-unknown', reason, { hint: resendHint, cause })
}
