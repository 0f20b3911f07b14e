/** Guards against guaranteed work that waits for a rack of its own though its guarantee is lent to other work elsewhere. */
import { createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import { createGang, Fleet } from '../__utils__/index.js'

/** Guaranteed work has to start this long after its acceptance. */
const reclaimMs = 2900
const whole = { cpuMillicores: 1000, memoryMiB: 1000, accelerators: 8 }

/** Each rack has one upstream with guaranteed work and one with work that borrows its capacity. */
function startFleet(): Fleet {
  const fleet = new Fleet('r1', 'r1', 'r2', 'r2')
  fleet.guaranteedAccelerators = 32
  for (const rack of ['r1', 'r2']) {
    fleet.submit(createJob(`in-${rack}`, { needs: whole, requiredLabel: rack }), 0)
  }
  fleet.decide()
  fleet.submit(createJob('borrower', { needs: whole, taskCount: 2, expectedRunTimeMs: 60_000 }), 1)
  fleet.decide()
  return fleet
}

test('a guaranteed gang spans racks in time if guaranteed work keeps it from each single one', (t) => {
  const fleet = startFleet()
  const gang = createGang(2, 8, { prefersOneRack: true, expectedRunTimeMs: 5000 })
  fleet.submit(createJob('gang', gang), 0)
  const started = fleet.playUntil(reclaimMs).map(({ jobId }) => jobId)
  t.deepEqual(started, ['gang', 'gang'])
})

test('a guaranteed gang leaves its data rack in time if guaranteed work keeps it from there', (t) => {
  const fleet = startFleet()
  fleet.submit(createJob('gang', createGang(2, 8, { dataRack: 'r1' })), 0)
  t.is(fleet.playUntil(reclaimMs).length, 2)
})
