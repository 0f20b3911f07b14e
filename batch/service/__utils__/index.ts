/** A fleet of fake upstreams with faulty links, for tests of the leader's work. */
export { FakeFleet, upstreamCount, type FleetTrouble } from './fakeFleet.js'
export { FakeUpstream } from './fakeUpstream.js'
export { FaultyPort, type LinkFault } from './faultyPort.js'
export { FleetLedger } from './fleetLedger.js'
export { createLocalApi, peerKey, startFakeMember, type FakeMember } from './fakeMember.js'
