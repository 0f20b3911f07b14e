/** Small fakes at the entry's interfaces, for tests. */
export { FakeClaims } from './fakeClaims.js'
export { FakeControl } from './fakeControl.js'
export { FakeUpstream, type ReceivedTask } from './fakeUpstream.js'
export { RecordingLogger } from './recordingLogger.js'
export { createAnnouncement, createContract, createUpstream } from './samples.js'
