/** Small configurations, jobs and upstreams for tests of batch work. */
export * from './samples.js'
