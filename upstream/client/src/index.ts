/** Calls to upstreams by the task protocol. */
export { UpstreamClient, type TaskReference } from './upstreamClient.js'
