/** Fetches an answer from its upstream again: one that was too large, or streamed, is not stored in its claim. */
import type { ClaimTarget } from '@nettlespur/api.schemas'
import { unwrap } from '@nettlespur/core.errors'
import type { TypedAnswer, UpstreamClient } from '@nettlespur/upstream.client'

export abstract class AnswerCollector {
  /** Returns the whole answer. Rejects with `answer-expired`, `unknown-job`, `unreachable` or `outcome-unknown`. */
  abstract collect(target: ClaimTarget): Promise<TypedAnswer>
}

export class UpstreamAnswerCollector extends AnswerCollector {
  readonly #client: Pick<UpstreamClient, 'getTask' | 'getTypedAnswer'>

  constructor(client: Pick<UpstreamClient, 'getTask' | 'getTypedAnswer'>) {
    super()
    this.#client = client
  }

  override async collect({ address, taskId }: ClaimTarget): Promise<TypedAnswer> {
    const { fence } = await unwrap(this.#client.getTask(address, taskId))
    return unwrap(this.#client.getTypedAnswer({ address, taskId, fence }))
  }
}
