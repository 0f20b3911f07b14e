/** A troubled day on which a data centre is evacuated for some seconds, and some upstreams go at short notice. */
import { SeededRandom } from '@nettlespur/bench.placement'
import { createTroubledDay, nameDataCentre, type CrowdedDay, type Loss } from './crowdedDay.js'
import type { Deployment } from './deployment.js'

const evacuationMs = { least: 8000, most: 12_000 }
const noticeMs = 5500
const noticedShare = 0.14

export function createEvacuatedDay(deployment: Deployment, seed: number): CrowdedDay {
  const day = createTroubledDay(deployment, seed)
  const random = new SeededRandom(~seed * 5)
  const dataCentre = nameDataCentre(Math.floor(random.next() * (deployment.dataCentreCount ?? 1)))
  const fromMs = random.between(0, day.lengthMs - evacuationMs.most)
  const toMs = fromMs + random.between(evacuationMs.least, evacuationMs.most)
  const atMs = random.between(noticeMs, day.lengthMs)
  const noticed = day.upstreams.flatMap(({ upstreamId }): Loss[] =>
    random.chance(noticedShare) ? [{ upstreamId, atMs, noticeMs }] : [],
  )
  return {
    ...day,
    losses: [...day.losses, ...noticed],
    evacuations: [{ dataCentre, fromMs, toMs }],
  }
}
