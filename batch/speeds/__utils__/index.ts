/** Helpers of the tests of this package. */
export { SimulatedFleet, type SimulatedLoad } from './simulatedFleet.js'
