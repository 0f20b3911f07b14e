/** Collects again, from its upstream, an answer that is too large to be kept with its claim. */
import type { ClaimTarget } from '@nettlespur/api.schemas'
import { unwrap } from '@nettlespur/core.errors'
import type { TypedAnswer, UpstreamClient } from '@nettlespur/upstream.client'

export abstract class AnswerCollector {
  /** The whole answer. Rejects with `answer-expired`, `unknown-job`, `unreachable`, `outcome-unknown`. */
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
