/** Starts a fleet without link faults, whose leader has heard the announcements of all upstreams. */
import { FakeFleet } from './fakeFleet.js'

/** Longer than the upstreams take until all have announced themselves. */
export const settledMs = 2000

export async function startFleet(): Promise<FakeFleet> {
  const fleet = new FakeFleet({ clockRate: 1, lateMs: 1000, failures: [], linksMs: [1] })
  fleet.elect()
  await fleet.clock.advance(settledMs)
  return fleet
}
