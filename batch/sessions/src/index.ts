/** One conversation for each upstream that runs batch tasks. */
export { ClockEstimate } from './clockEstimate.js'
export { LeaseTracker } from './leaseTracker.js'
export type { RunTrack } from './runTrack.js'
export { SessionHost } from './sessionHost.js'
export type { SessionTimings, UpstreamSessionOptions } from './sessionOptions.js'
export * from './upstreamPort.js'
export { UpstreamSession } from './upstreamSession.js'
