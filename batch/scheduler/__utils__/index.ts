/** Small fleets and steps for tests of rounds. */
export { createGang } from './createGang.js'
export { Fleet } from './fleet.js'
