/** What all daemons share: their command line, key files and certificates. */
export {
  readKeys,
  readPeerCa,
  readTlsFiles,
  resolveInstancePaths,
  type InstancePaths,
} from './instanceFiles.js'
export { readDaemonSettings, runDaemon, type RunDaemonOptions } from './runDaemon.js'
