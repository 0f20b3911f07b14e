/** Fixtures for tests of scheduling rounds. */
export { createGang } from './createGang.js'
export { Fleet } from './fleet.js'
