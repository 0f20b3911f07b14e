/** The bound on what a day can earn. */
import test from 'ava'
import fc from 'fast-check'
import {
  boundEarnings,
  createCrowdedDay,
  createEvacuatedDay,
  growDeployment,
  playDay,
  thapa,
} from '../src/index.js'
import { WorkSlots, type Work } from '../src/workSlots.js'

const small = growDeployment(thapa, 8)

test('no day earns more than its bound', (t) => {
  for (const seed of [1, 2, 3, 4]) {
    const day = createCrowdedDay(small, seed)
    const bound = boundEarnings(day)
    t.true(playDay(day, seed).worth <= bound, `seed ${seed}`)
    t.true(bound <= 1 + 1e-6, `seed ${seed}`)
  }
})

test('no day on which a data centre is evacuated earns more than its bound, and the evacuation lowers it', (t) => {
  const crowd = { ...growDeployment(thapa, 24), dataCentreCount: 3 }
  for (const seed of [1, 2, 3, 4]) {
    const day = createEvacuatedDay(crowd, seed)
    const bound = boundEarnings(day)
    t.true(playDay(day, seed).worth <= bound, `seed ${seed}`)
    t.true(bound <= boundEarnings({ ...day, evacuations: [] }) + 1e-6, `seed ${seed}`)
  }
})

test('the least of all resources bounds what can be earned', (t) => {
  const day = createCrowdedDay(small, 1)
  const upstreams = day.upstreams.map((upstream) => {
    return { ...upstream, capacity: { ...upstream.capacity, memoryMiB: 8000 } }
  })
  t.true(boundEarnings({ ...day, upstreams }) < boundEarnings(day))
})

test('with room for all of them everything can be earned', (t) => {
  const day = createCrowdedDay(small, 1)
  const upstreams = Array.from({ length: 500 }, () => day.upstreams[0] ?? t.fail())
  t.true(boundEarnings({ ...day, upstreams }) > 0.999)
})

test('work admitted earlier is moved to make place, and never put out', (t) => {
  const slots = new WorkSlots([1, 1])
  t.is(slots.admit({ fromSlot: 0, toSlot: 2, amount: 1 }), 1)
  t.is(slots.admit({ fromSlot: 0, toSlot: 1, amount: 1 }), 1)
  t.is(slots.admit({ fromSlot: 0, toSlot: 2, amount: 1 }), 0)
})

const slotCount = 4
const workArbitrary = fc
  .tuple(
    fc.nat({ max: slotCount - 1 }),
    fc.integer({ min: 1, max: 3 }),
    fc.integer({ min: 1, max: 4 }),
  )
  .map(([fromSlot, length, amount]): Work => {
    return { fromSlot, toSlot: Math.min(slotCount, fromSlot + length), amount }
  })

/** By the theorem of Hall: what lies within a span of slots cannot exceed the room of the span. */
function fitsWholly(works: readonly Work[], room: number): boolean {
  for (let from = 0; from < slotCount; from++) {
    for (let to = from + 1; to <= slotCount; to++) {
      const within = works.filter(({ fromSlot, toSlot }) => fromSlot >= from && toSlot <= to)
      const amount = within.reduce((sum, work) => sum + work.amount, 0)
      if (amount > room * (to - from)) return false
    }
  }
  return true
}

test('all is admitted exactly where all can be done', (t) => {
  fc.assert(
    fc.property(
      fc.array(workArbitrary, { maxLength: 6 }),
      fc.integer({ min: 1, max: 4 }),
      (works, room) => {
        const slots = new WorkSlots(Array.from({ length: slotCount }, () => room))
        const admitted = works.map((work) => slots.admit(work))
        const isWhole = works.every(
          ({ amount }, at) => Math.abs((admitted[at] ?? 0) - amount) < 1e-6,
        )
        t.is(isWhole, fitsWholly(works, room))
      },
    ),
  )
})
