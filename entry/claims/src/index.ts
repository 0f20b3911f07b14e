/** Routing of requests that must not run twice: each is claimed at control under its key before it is sent. */
export { AnswerCollector, UpstreamAnswerCollector } from './answerCollector.js'
export { ClaimChangeSender } from './claimChangeSender.js'
export { ClaimingRouter, type ClaimingRouterOptions } from './claimingRouter.js'
