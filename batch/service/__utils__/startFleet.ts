/** Starts a fleet without link faults, whose leader has heard the announcements of all upstreams. */
import { FakeFleet } from './fakeFleet.js'
import type { FakeFleetOptions } from './fleetOptions.js'

/** Longer than the upstreams take until all have announced themselves. */
export const settledMs = 2000

export async function startFleet(opts: Partial<FakeFleetOptions> = {}): Promise<FakeFleet> {
  const defaults = { clockRate: 1, lateMs: 1000, failures: [], linksMs: [1] }
  const fleet = new FakeFleet({ ...defaults, ...opts })
  fleet.elect()
  await fleet.clock.advance(settledMs)
  return fleet
}
