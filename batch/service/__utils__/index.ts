/** A fleet of fake upstreams with faulty links, for tests of the leader's work. */
export { FakeFleet, upstreamCount, type FleetTrouble } from './fakeFleet.js'
export { FaultyPort, type LinkFault } from './faultyPort.js'
export { createLocalApi, peerKey, startFakeMember, type FakeMember } from './fakeMember.js'
export { createRecorder, type Recorder } from './recorder.js'
export { MemberGroup, type MemberGroupTimings } from './memberGroup.js'
export { MemberLink } from './memberLink.js'
export { startWatchedGroup } from './startWatchedGroup.js'
