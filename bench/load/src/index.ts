/** A load generator for short requests, and what it measures of the entries. */
export * from './generator.js'
export { measureRequests, type Figure, type MeasureRequestsOptions } from './measureRequests.js'
