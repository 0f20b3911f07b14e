/** Fakes of the processes that an entry talks to, for tests. */
export { FakeClaims } from './fakeClaims.js'
export { FakeControl } from './fakeControl.js'
export { FakeUpstream, type ReceivedTask } from './fakeUpstream.js'
export { RecordingLogger } from './recordingLogger.js'
export { createAnnouncement, createContract, createUpstream } from './samples.js'
