/** Measures what the daemons spend against the size of the cluster. */
export { measureCapacity } from './slopes/measureCapacity.js'
export { measureTransport } from './transport/measureTransport.js'
