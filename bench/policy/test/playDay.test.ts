/** Crowded days on a small deployment. */
import test from 'ava'
import { createCrowdedDay, growDeployment, playDay, thapa } from '../src/index.js'

const small = growDeployment(thapa, 8)

test('a day is the same each time it is played', (t) => {
  const first = playDay(createCrowdedDay(small, 3), 3)
  const second = playDay(createCrowdedDay(small, 3), 3)
  t.deepEqual(first.kinds, second.kinds)
  t.is(first.worth, second.worth)
})

test('most of what jobs could earn is earned, by every kind of job', (t) => {
  const { kinds, worth } = playDay(createCrowdedDay(small, 3), 3)
  t.true(worth > 0.5 && worth <= 1, `worth ${worth}`)
  t.deepEqual([...kinds.keys()].sort(), ['background', 'large', 'urgent'])
  for (const [name, { earned, owed }] of kinds) t.true(earned > 0 && earned <= owed, name)
})
