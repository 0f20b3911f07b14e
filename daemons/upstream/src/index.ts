/** Program that runs one stand-in upstream. */
export { startUpstreamDaemon, type UpstreamDaemon } from './startUpstreamDaemon.js'
