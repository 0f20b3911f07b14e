/** The control daemon, and the same as a function. */
export type { UpstreamClientFactory } from './createUpstreamClient.js'
export { main } from './main.js'
export { startControl, type RunningControl, type StartControlOptions } from './startControl.js'
