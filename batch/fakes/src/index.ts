/** Fake upstreams that keep to the platform's agreement, and a ledger of the promises that runs break. */
export { FakeUpstream, type FakeUpstreamOptions } from './fakeUpstream.js'
export { FleetLedger, type FleetLedgerOptions } from './fleetLedger.js'
