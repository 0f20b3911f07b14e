/** Gives a resent request the outcome of its claim: the recorded one, or the one it waits for. */
import type { Claim, ClaimAnswer, ClaimOutcome } from '@nettlespur/api.schemas'
import type { ControlApi } from '@nettlespur/control.api'
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError, toNettlespurError } from '@nettlespur/core.errors'
import type { ShortAnswer, ShortRequest } from '@nettlespur/entry.requests'
import type { AnswerCollector } from './answerCollector.js'
import { transientKinds } from './claimChanges.js'

const askMsMax = 1000
const pauseMs = 100
const retryAfterMs = 1000
const askAgainHint = 'send it again with the same key and body to learn of its outcome'

export interface OutcomeReaderOptions {
  clock: Clock
  control: Pick<ControlApi, 'awaitClaim'>
  collector: AnswerCollector
  /** Aborted when every request is to be answered now. */
  abandoned: AbortSignal
}

export class OutcomeReader {
  readonly #opts: OutcomeReaderOptions

  constructor(opts: OutcomeReaderOptions) {
    this.#opts = opts
  }

  /** The claim of the key now, or null. Throws `outcome-unknown` where control cannot tell in time. */
  async find(request: ShortRequest, key: string): Promise<Claim | null> {
    const { clock } = this.#opts
    const endMs = Math.max(request.deadlineAtMs, clock.monotonicMs())
    return this.#ask(request.workspace, key, 0, endMs)
  }

  /** Waits for the outcome until the request's deadline. Throws what stands for any but an answer. */
  async read(request: ShortRequest, claim: Claim): Promise<ShortAnswer> {
    const { clock, abandoned } = this.#opts
    const givenUp = AbortSignal.any([request.callerGone, abandoned])
    const ended = whenAborted(givenUp)
    let known: Claim | null = claim
    for (;;) {
      if (known === null) throw createUnknownError('its claim is no longer kept')
      const { outcome } = known
      if (outcome !== undefined && outcome.kind !== 'unknown') {
        return this.#toAnswer(request, known, outcome)
      }
      const leftMs = request.deadlineAtMs - clock.monotonicMs()
      if (givenUp.aborted || leftMs <= 0) {
        throw createUnknownError(outcome?.reason ?? 'it runs still')
      }
      const waitMs = Math.ceil(Math.min(askMsMax, leftMs))
      const asked = this.#ask(request.workspace, claim.key, waitMs, request.deadlineAtMs)
      known = await Promise.race([asked, ended.then(() => claim)])
      if (known !== null && isOpen(known)) await clock.sleep(Math.min(pauseMs, leftMs), givenUp)
    }
  }

  async #ask(workspace: string, key: string, waitMs: number, endMs: number): Promise<Claim | null> {
    const { clock, control } = this.#opts
    for (;;) {
      const asked = await control.awaitClaim({ workspace, key, waitMs }).run()
      if (asked.isRight()) return asked.extract()
      const error = toNettlespurError(asked.extract())
      if (!transientKinds.has(error.kind) || clock.monotonicMs() + pauseMs >= endMs) {
        throw createUnknownError('control cannot tell what became of its key', error)
      }
      await clock.sleep(pauseMs)
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
    const { status, contentType } = outcome
    const body = await this.#readBody(request, claim, outcome)
    return { status, contentType, body, taskId, attempt, upstreamId }
  }

  async #readBody(request: ShortRequest, claim: Claim, answer: ClaimAnswer): Promise<Buffer> {
    if (answer.bodyBase64 !== undefined) return Buffer.from(answer.bodyBase64, 'base64')
    const { clock, collector } = this.#opts
    for (;;) {
      try {
        const body = await collector.collect(claim.target)
        if (body.length === answer.bodyBytes) return body
        throw new NettlespurError('answer-expired', 'its upstream holds another answer')
      } catch (thrown) {
        const error = toNettlespurError(thrown)
        const mayCome = transientKinds.has(error.kind)
        if (!mayCome || clock.monotonicMs() + pauseMs >= request.deadlineAtMs) {
          throw new NettlespurError('answer-expired', `it ran; its answer: ${error.message}`, {
            hint: mayCome ? askAgainHint : undefined,
            cause: error,
          })
        }
        await clock.sleep(pauseMs)
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

export function createUnknownError(reason: string, cause?: unknown): NettlespurError {
  return new NettlespurError('outcome-unknown', reason, { hint: askAgainHint, cause })
}
