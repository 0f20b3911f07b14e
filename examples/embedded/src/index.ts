/** An example of library use: a control and an entry inside another program. */
export { runEmbedded, type RunEmbeddedOptions } from './runEmbedded.js'
