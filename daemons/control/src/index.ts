/** The control daemon, and the same as a function. */
export type { UpstreamClientFactory } from './createUpstreamClient.js'
export { readControlSettings } from './readControlSettings.js'
export { startControl, type RunningControl, type StartControlOptions } from './startControl.js'
