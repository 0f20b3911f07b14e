/** Fakes of what control depends on, and sample data, for tests. */
export { createContract, createJobRequest, createUpstreamView } from './examples.js'
export { FakeUpstreams } from './fakeUpstreams.js'
