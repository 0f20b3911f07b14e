/** Fake upstreams that follow the platform's agreement, and a ledger that records violations of its invariants. */
export { FakeUpstream, type FakeUpstreamOptions } from './fakeUpstream.js'
export { FleetLedger, type FleetLedgerOptions } from './fleetLedger.js'
