/** Starts of tasks that are suspected of crashing their upstreams: where they go, and how many at a time. */
import { createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import { Fleet } from '../__utils__/index.js'

const small = { cpuMillicores: 1000, memoryMiB: 1000, accelerators: 1 }

/** A job whose tasks have all brought down their upstreams once. */
function startSuspects(fleet: Fleet, taskCount: number): void {
  fleet.submit(createJob('suspect', { taskCount, needs: small }))
  for (const run of fleet.decide().placements) fleet.crash(run)
}

test('of a step whose tasks crash their upstreams one starts at a time, until it is seen at work', (t) => {
  const fleet = new Fleet('r1', 'r1', 'r1', 'r1')
  startSuspects(fleet, 6)
  const counts = [0, 1, 2, 3].map(() => {
    const { placements } = fleet.decide()
    fleet.prove()
    return placements.length
  })
  t.deepEqual(counts, [1, 1, 2, 2])
})

test('a start on trial goes where nothing runs, and nothing else starts beside it', (t) => {
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

test('a start on trial does not wait for a quiet upstream where there is none', (t) => {
  const fleet = new Fleet('r1')
  fleet.submit(createJob('sound', { taskCount: 2, needs: small }))
  fleet.decide()
  fleet.submit(createJob('suspect', { needs: small }))
  for (const run of fleet.decide().placements) fleet.crash(run)
  t.is(fleet.decide().placements.length, 1)
})

test('tasks of other jobs start as ever beside a suspect that waits', (t) => {
  const fleet = new Fleet('r1', 'r1')
  startSuspects(fleet, 4)
  fleet.submit(createJob('sound', { taskCount: 5, needs: small }), 0)
  const { placements } = fleet.decide()
  t.is(placements.filter(({ jobId }) => jobId === 'sound').length, 5)
})
