/** Fixtures for tests of batch work: small configurations, jobs and upstreams. */
export * from './samples.js'
