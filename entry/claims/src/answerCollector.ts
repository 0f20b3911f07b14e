/** Collects again, from its upstream, an answer that is too large to be kept with its claim. */
import type { ClaimTarget } from '@nettlespur/api.schemas'
import { unwrap } from '@nettlespur/core.errors'
import type { UpstreamClient } from '@nettlespur/upstream.client'

export abstract class AnswerCollector {
  /** The whole body. Rejects with `answer-expired`, `unknown-job`, `unreachable`, `outcome-unknown`. */
  abstract collect(target: ClaimTarget): Promise<Buffer>
}

export class UpstreamAnswerCollector extends AnswerCollector {
  readonly #client: Pick<UpstreamClient, 'getTask' | 'getAnswer'>

  constructor(client: Pick<UpstreamClient, 'getTask' | 'getAnswer'>) {
    super()
    this.#client = client
  }

  override async collect({ address, taskId }: ClaimTarget): Promise<Buffer> {
    const { fence } = await unwrap(this.#client.getTask(address, taskId))
    return unwrap(this.#client.getAnswer({ address, taskId, fence }))
  }
}
