/** Relays: control members that carry the leader's calls to upstreams. */
export { assignMember } from './assignMember.js'
export { ClosablePort } from './closablePort.js'
export { Relay, type RelayOptions } from './relay.js'
export { RelayedUpstreamPort, type RelayedUpstreamPortOptions } from './relayedUpstreamPort.js'
export { RelayLink } from './relayLink.js'
export {
  answerRequestSchema,
  orderBatchSchema,
  relayAnswersSchema,
  relayReceiptSchema,
  type AnswerRequest,
  type OrderBatch,
  type RelayAnswers,
  type RelayReceipt,
} from './relayMessages.js'
export { RelayService, type RelayServiceOptions } from './relayService.js'
export type { Leadership } from './leadership.js'
