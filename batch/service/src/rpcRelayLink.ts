/** Carries the leader's messages to its relays over tRPC. A connection that has gone silent is replaced. */
import {
  RelayLink,
  relayAnswersSchema,
  relayReceiptSchema,
  type AnswerRequest,
  type OrderBatch,
  type RelayAnswers,
  type RelayReceipt,
} from '@nettlespur/batch.relays'
import type { Clock } from '@nettlespur/core.clock'
import { unwrap } from '@nettlespur/core.errors'
import { callPeer, limitCall, RpcClients } from '@nettlespur/rpc.peer'
import type { BatchRouter } from './createBatchRouter.js'

export interface RpcRelayLinkOptions {
  clock: Clock
  peerKey: string
  /** Deadline of a call, besides the wait that it asks for. */
  timeoutMs: number
  /** As in `RpcClientOptions`. */
  compresses?: boolean | undefined
}

export class RpcRelayLink extends RelayLink {
  readonly #clients: RpcClients<BatchRouter>
  readonly #timeoutMs: number

  constructor(opts: RpcRelayLinkOptions) {
    super()
    this.#clients = new RpcClients(opts)
    this.#timeoutMs = opts.timeoutMs
  }

  override async sendOrders(memberAddress: string, batch: OrderBatch): Promise<RelayReceipt> {
    const { batch: calls } = this.#clients.get(memberAddress).call
    return relayReceiptSchema.parse(await unwrap(callPeer(() => calls.relayOrders.mutate(batch))))
  }

  override async takeAnswers(memberAddress: string, request: AnswerRequest): Promise<RelayAnswers> {
    const { batch: calls } = this.#clients.get(memberAddress).call
    const limits = limitCall({ timeoutMs: this.#timeoutMs + request.waitMs })
    const answers = await unwrap(callPeer(() => calls.relayAnswers.mutate(request, limits)))
    return relayAnswersSchema.parse(answers)
  }

  close(): void {
    this.#clients.close()
  }
}
