/** The command line of nettlespur. */
export { main } from './main.js'
