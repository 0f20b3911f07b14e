/** Carries the leader's messages to the relays. A relay never calls the leader, so one direction of the link is enough. */
import type { AnswerRequest, OrderBatch, RelayAnswers, RelayReceipt } from './relayMessages.js'

/** Errors: both methods reject with `unreachable` only if it is certain that the relay did not get the message. */
export abstract class RelayLink {
  abstract sendOrders(memberAddress: string, batch: OrderBatch): Promise<RelayReceipt>
  /** Asks for the answers that have come in. The relay waits for some, up to `waitMs` of the request. */
  abstract takeAnswers(memberAddress: string, request: AnswerRequest): Promise<RelayAnswers>
}
