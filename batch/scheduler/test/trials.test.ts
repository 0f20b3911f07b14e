/** Trial starts of tasks suspected of crashing their upstreams: on which upstreams, and how many at a time. */
import { createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import { Fleet } from '../__utils__/index.js'

const small = { cpuMillicores: 1000, memoryMiB: 1000, accelerators: 1 }

/** Submits a job and lets each of its tasks crash its upstream once. */
function startSuspects(fleet: Fleet, taskCount: number): void {
  fleet.submit(createJob('suspect', { taskCount, needs: small }))
  for (const run of fleet.decide().placements) fleet.crash(run)
}

test('suspected tasks of a step start one at a time, and more only as earlier ones are proven', (t) => {
  const fleet = new Fleet('r1', 'r1', 'r1', 'r1')
  startSuspects(fleet, 6)
  const counts = [0, 1, 2, 3].map(() => {
    const { placements } = fleet.decide()
    fleet.prove()
    return placements.length
  })
  t.deepEqual(counts, [1, 1, 2, 2])
})

test('a trial start is placed on an idle upstream, and nothing else starts there', (t) => {
  const fleet = new Fleet('r1', 'r1')
  fleet.submit(createJob('sound', { taskCount: 2, needs: small }))
  const [first] = fleet.decide().placements
  fleet.prove()
  startSuspects(fleet, 1)
  fleet.submit(createJob('urgent', { taskCount: 3, needs: small }), 0)
  fleet.submit(createJob('background', { taskCount: 12, needs: small }))
  const { placements } = fleet.decide()
  const trial = placements.find(({ jobId }) => jobId === 'suspect')
  t.not(trial?.upstreamId, first?.upstreamId)
  const beside = placements.filter(({ upstreamId }) => upstreamId === trial?.upstreamId)
  t.deepEqual(
    beside.map(({ jobId }) => jobId),
    ['suspect'],
  )
})

test('a trial start does not wait if no upstream is suitable for a trial', (t) => {
  const fleet = new Fleet('r1')
  fleet.submit(createJob('sound', { taskCount: 2, needs: small }))
  fleet.decide()
  fleet.submit(createJob('suspect', { needs: small }))
  for (const run of fleet.decide().placements) fleet.crash(run)
  t.is(fleet.decide().placements.length, 1)
})

test('a waiting suspected task does not delay tasks of other jobs', (t) => {
  const fleet = new Fleet('r1', 'r1')
  startSuspects(fleet, 4)
  fleet.submit(createJob('sound', { taskCount: 5, needs: small }), 0)
  const { placements } = fleet.decide()
  t.is(placements.filter(({ jobId }) => jobId === 'sound').length, 5)
})
