/** The command line that all daemons share: settings file in, exit code out. */
export { runDaemon, type RunDaemonOptions } from './runDaemon.js'
