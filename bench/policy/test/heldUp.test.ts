/** Guards against gangs that wait behind the reservation of another while half of the pool is idle. */
import test from 'ava'
import { createCrowdedDay, createTroubledDay, cscfba, fsww, playDay, thapa } from '../src/index.js'

/** Days on which jobs were held up. */
const days = [
  { deployment: cscfba, seed: 7, create: createCrowdedDay },
  { deployment: cscfba, seed: 35, create: createCrowdedDay },
  { deployment: thapa, seed: 32, create: createCrowdedDay },
  { deployment: fsww, seed: 9, create: createCrowdedDay },
  { deployment: fsww, seed: 31, create: createTroubledDay },
]

test('no job that upstreams have room for is held up for 3 s on the days on which some were', (t) => {
  for (const { deployment, seed, create } of days) {
    const spells = playDay(create(deployment, seed), seed).heldUpSpells
    const avoidable = spells.filter(({ reason }) => reason !== 'fragmentation')
    t.deepEqual(avoidable, [], `${deployment.name}, seed ${seed}`)
  }
})
