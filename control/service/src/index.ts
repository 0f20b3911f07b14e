/** The control node: the API that entries call, the placement loop and the table of upstreams. */
export { ClaimResolver, type ClaimResolverOptions } from './claimResolver.js'
export { ControlNode } from './controlNode.js'
export type { ControlNodeOptions, NodeTimings } from './nodeOptions.js'
