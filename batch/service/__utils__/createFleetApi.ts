/** The leader's API over a fake fleet, for calls that read: each read counts as confirmed at once. */
import { NettlespurError, tryAsync } from '@nettlespur/core.errors'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import { LeaderApi } from '../src/leaderApi.js'
import type { FakeFleet } from './fakeFleet.js'
import { silentLogger } from './silentLogger.js'

export function createFleetApi(fleet: FakeFleet): LeaderApi {
  const refuse = () =>
    tryAsync<never>(() => {
      throw new NettlespurError('not-leader', 'this API only reads')
    })
  return new LeaderApi({
    clock: fleet.clock,
    raft: {
      addMember: refuse,
      propose: refuse,
      readBarrier: () => tryAsync(() => Promise.resolve()),
    },
    dataCentres: [],
    getState: () => fleet.state,
    requireLeader: () => {
      if (fleet.leader === undefined) throw new NettlespurError('not-leader', 'nobody leads')
      return fleet.leader
    },
    logger: silentLogger,
    metrics: new MetricsRegistry(),
  })
}
