/** Client for the task protocol of upstreams. */
export { HttpUpstreamClient, type HttpUpstreamClientOptions } from './httpUpstreamClient.js'
export { readWholeAnswer, type ExpectedAnswer } from './readWholeAnswer.js'
export { UpstreamClient, type TaskReference, type TypedAnswer } from './upstreamClient.js'
export { IdleConnections } from './idleConnections.js'
export { ConnectionPools } from './connectionPools.js'
