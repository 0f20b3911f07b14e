/** Fakes at the seams of control, for tests. */
export { createContract, createJobRequest, createUpstreamView } from './examples.js'
export { FakeUpstreams } from './fakeUpstreams.js'
