/** Guards against commands whose size grows with that of a job, and against jobs that are never placed for it. */
import { createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import { Fleet } from '../__utils__/index.js'
import { placementsPerRoundMax } from '../src/index.js'

const needs = { cpuMillicores: 1, memoryMiB: 1, accelerators: 0 }

test('a round places no more tasks than its limit, and the next ones place the others', (t) => {
  const taskCount = 3 * placementsPerRoundMax + 1
  const fleet = new Fleet('r1', 'r1')
  fleet.submit(createJob('wide', { taskCount, needs }))
  fleet.submit(createJob('other', { taskCount: 2, needs }))
  const counts = Array.from({ length: 4 }, () => fleet.decide().placements.length)
  const all = [placementsPerRoundMax, placementsPerRoundMax, placementsPerRoundMax, 3]
  t.deepEqual(counts, all)
  t.true(fleet.state.jobs.get('other')?.steps[0]?.tasks.every(({ phase }) => phase === 'placed'))
})

test('a gang that is larger than the limit of a round is placed as a whole', (t) => {
  const taskCount = placementsPerRoundMax + 1
  const fleet = new Fleet('r1', 'r1')
  fleet.submit(createJob('first', { taskCount: 3, needs }))
  fleet.submit(createJob('gang', { taskCount, needs, isGang: true }))
  const { placements } = fleet.decide()
  t.is(placements.filter(({ jobId }) => jobId === 'gang').length, taskCount)
})

test('the tasks of a step beside which few may run on an upstream are counted over all rounds', (t) => {
  const fleet = new Fleet('r1', 'r1')
  fleet.submit(createJob('spread', { taskCount: 10, needs, tasksPerUpstreamMax: 2 }))
  t.is(fleet.decide().placements.length, 4)
  t.is(fleet.decide().placements.length, 0)
})
