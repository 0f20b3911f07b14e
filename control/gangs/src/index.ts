/** Runs placed gangs on their upstreams: reserve, start, renew, collect, stop. */
export { GangManager } from './gangManager.js'
export type { GangOptions, GangTimings } from './gangOptions.js'
export { waitForWake } from './waitForWake.js'
