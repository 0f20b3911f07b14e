/** The replicated log: what control commits to, and a log of one voter. */
export { ReplicatedLog, type Leadership, type LogDescription } from './replicatedLog.js'
export { SingleNodeLog, type SingleNodeLogOptions } from './singleNodeLog.js'
