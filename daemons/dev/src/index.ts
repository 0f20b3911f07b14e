/** The embedded default: control, one entry and stand-in upstreams in one process. */
export { demoContract } from './demoContract.js'
export { startDev, type RunningDev, type StartDevOptions } from './startDev.js'
