/** Measures what the daemons spend against the size of the cluster. */
export { measureTransport } from './transport/measureTransport.js'
