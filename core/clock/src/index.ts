/** The clock interface, the system clock and a manual clock for tests. */
export type { Clock, Timer } from './clock.js'
export { ManualClock } from './manualClock.js'
export { setDeadline } from './setDeadline.js'
export { sleepOn } from './sleepOn.js'
export { SystemClock } from './systemClock.js'
export { Wake } from './wake.js'
export { waitFor } from './waitFor.js'
