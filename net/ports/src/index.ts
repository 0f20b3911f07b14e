/** Free ports for processes that must know them before they start. */
export { reservePorts } from './reservePorts.js'
export { readEphemeralPortMin } from './readEphemeralPortMin.js'
