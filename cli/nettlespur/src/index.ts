/** The command line of nettlespur. */
export { createDevCommand, type StartDev, type StartDevOptions } from './commands/dev.js'
export { main } from './main.js'
