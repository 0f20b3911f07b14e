/** A fleet whose leader has taken over and has heard all upstreams, over links that do no harm. */
import { FakeFleet } from './fakeFleet.js'

/** Longer than the upstreams take to announce themselves. */
export const settledMs = 2000

export async function startFleet(): Promise<FakeFleet> {
  const fleet = new FakeFleet({ clockRate: 1, lateMs: 1000, failures: [], linksMs: [1] })
  fleet.elect()
  await fleet.clock.advance(settledMs)
  return fleet
}
