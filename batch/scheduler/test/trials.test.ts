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

/** Starts the tasks `indexes` of the job `suspect` five times, and lets their upstreams fall silent each time. */
function holdBack(fleet: Fleet, indexes: readonly number[]): void {
  for (let attempt = 11; attempt <= 15; attempt++) {
    const runs = indexes.map((index) => {
      return { jobId: 'suspect', step: 0, index, attempt, upstreamId: `silent${attempt}` }
    })
    fleet.state.apply({ type: 'place-tasks', placements: runs })
    const ends = runs.map((run) => ({ ...run, outcome: 'silent', blame: 'suspected' }) as const)
    fleet.state.apply({ type: 'end-runs', ends })
  }
}

test('a task that is held back does not start, and its step waits until some of it is proven', (t) => {
  const fleet = new Fleet('r1', 'r1')
  fleet.submit(createJob('suspect', { taskCount: 3, needs: small }))
  holdBack(fleet, [0])
  t.deepEqual(fleet.decide().placements, [])
  fleet.submit(createJob('sound', { taskCount: 2, needs: small }))
  t.is(fleet.decide().placements.length, 2)
})

test('other tasks of a step start beside one that is held back as far as some are proven', (t) => {
  const fleet = new Fleet('r1', 'r1')
  fleet.submit(createJob('suspect', { taskCount: 8, needs: small }))
  for (const index of [1, 2, 3]) {
    const run = { jobId: 'suspect', step: 0, index, attempt: 1, upstreamId: 'u0' }
    fleet.state.apply({ type: 'place-tasks', placements: [run] })
    fleet.end(run, 'done')
  }
  holdBack(fleet, [0])
  const { placements } = fleet.decide()
  t.deepEqual(
    placements.map(({ index }) => index),
    [4, 5],
  )
})

test('a gang with a member that is held back does not start', (t) => {
  const fleet = new Fleet('r1', 'r1')
  fleet.submit(createJob('suspect', { taskCount: 2, isGang: true, needs: small }))
  holdBack(fleet, [0])
  t.deepEqual(fleet.decide().placements, [])
})
