/** Requests that must not run twice: claimed through control before they leave, and found by their key. */
export { AnswerCollector, UpstreamAnswerCollector } from './answerCollector.js'
export { ClaimChangeSender } from './claimChangeSender.js'
export { ClaimingRouter, type ClaimingRouterOptions } from './claimingRouter.js'
