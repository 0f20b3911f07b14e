/** Scheduling rounds on small fleets. */
import { createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import { createGang, Fleet } from '../__utils__/index.js'

test('a gang is placed whole or not at all', (t) => {
  const fleet = new Fleet('r1', 'r1')
  fleet.submit(createJob('large', createGang(3, 8)))
  t.deepEqual(fleet.decide().placements, [])
  fleet.submit(createJob('small', createGang(2, 8)))
  t.deepEqual(
    fleet.decide().placements.map(({ jobId, index, attempt }) => [jobId, index, attempt]),
    [
      ['small', 0, 1],
      ['small', 1, 1],
    ],
  )
})

test('a step begins only after the steps it depends on are done', (t) => {
  const fleet = new Fleet('r1')
  fleet.submit(createJob('j', {}, { dependsOn: [0] }))
  const [first] = fleet.decide().placements
  t.is(first?.step, 0)
  t.deepEqual(fleet.decide().placements, [])
  if (first !== undefined) fleet.end(first, 'done')
  t.deepEqual(
    fleet.decide().placements.map(({ step }) => step),
    [1],
  )
})

test('a gang that prefers one rack is placed in one, and across racks only if no rack could take it', (t) => {
  const fleet = new Fleet('r1', 'r2', 'r2')
  fleet.submit(createJob('one-rack', createGang(2, 8, { prefersOneRack: true })))
  t.deepEqual(
    fleet.decide().placements.map(({ upstreamId }) => upstreamId),
    ['u1', 'u2'],
  )
  const wide = new Fleet('r1', 'r2', 'r2')
  wide.submit(createJob('wide', createGang(3, 8, { prefersOneRack: true })))
  t.is(wide.decide().placements.length, 3)
})

test('the required label, the data rack and the limit of tasks per upstream are respected', (t) => {
  const fleet = new Fleet('r1', 'r2')
  fleet.submit(createJob('label', { requiredLabel: 'r2' }))
  fleet.submit(createJob('rack', { dataRack: 'r1' }))
  fleet.submit(createJob('apart', { taskCount: 3, tasksPerUpstreamMax: 1 }))
  const placed = fleet.decide().placements
  const on = (jobId: string) =>
    placed.filter((run) => run.jobId === jobId).map(({ upstreamId }) => upstreamId)
  t.deepEqual(on('label'), ['u1'])
  t.deepEqual(on('rack'), ['u0'])
  t.deepEqual(on('apart').sort(), ['u0', 'u1'])
})

test('guaranteed work preempts other runs, keeps the capacity they release, and starts there', (t) => {
  const fleet = new Fleet('r1')
  fleet.submit(createJob('borrower', createGang(1, 8)))
  const [borrower] = fleet.decide().placements
  fleet.submit(createJob('guaranteed', createGang(1, 8)), 0)
  const decision = fleet.decide()
  t.deepEqual(
    decision.preemptions.map(({ run }) => run.jobId),
    ['borrower'],
  )
  t.deepEqual(fleet.decide(), { placements: [], preemptions: [], starving: [] })
  fleet.submit(createJob('later', {}))
  if (borrower !== undefined) fleet.end(borrower, 'stopped')
  t.deepEqual(
    fleet.decide().placements.map(({ jobId }) => jobId),
    ['guaranteed'],
  )
})

test('nothing is preempted for other priorities, nor for urgent work beyond the guarantee that is worth less', (t) => {
  const fleet = new Fleet('r1', 'r1', 'r1')
  fleet.submit(createJob('borrower', createGang(3, 8)))
  fleet.decide()
  // The urgent job is three tasks of 65 cores for one second: preemption would discard more work than that.
  fleet.stopCosts.set('borrower', 66)
  fleet.submit(createJob('too-large', createGang(3, 8)), 0)
  fleet.submit(createJob('normal', createGang(1, 8)), 1)
  t.deepEqual(fleet.decide().preemptions, [])
})

test('urgent work beyond the guarantee preempts runs that are worth less, but only while it can end on time', (t) => {
  const fleet = new Fleet('r1', 'r1', 'r1')
  fleet.submit(createJob('borrower', createGang(3, 8)))
  fleet.decide()
  fleet.stopCosts.set('borrower', 64)
  fleet.submit(createJob('urgent', createGang(3, 8)), 0)
  fleet.nowMs = 3000
  t.deepEqual(fleet.decide().preemptions, [])
  fleet.nowMs = 0
  const stopped = fleet.decide().preemptions
  t.is(stopped.length, 3)
  t.true(stopped.every(({ forJobId, isGuaranteed }) => forJobId === 'urgent' && !isGuaranteed))
})

test('an urgent job does not preempt its own tasks for those that still wait', (t) => {
  const fleet = new Fleet('r1', 'r1')
  const whole = { cpuMillicores: 1000, memoryMiB: 1000, accelerators: 8 }
  fleet.submit(createJob('urgent', { taskCount: 4, needs: whole, expectedRunTimeMs: 2000 }), 0)
  t.is(fleet.decide().placements.length, 2)
  t.deepEqual(fleet.decide().preemptions, [])
})

test('urgent work preempts no urgent work that would come before it again', (t) => {
  const fleet = new Fleet('r1', 'r1', 'r1')
  // Beyond the guarantee, as the first two jobs use it up.
  for (const jobId of ['g1', 'g2']) fleet.submit(createJob(jobId, createGang(1, 8)), 0)
  fleet.submit(createJob('sooner', createGang(1, 8)), 0)
  fleet.submit(createJob('later', { ...createGang(1, 8), expectedRunTimeMs: 2000 }), 0)
  t.is(fleet.decide().placements.length, 3)
  for (let round = 0; round < 5; round++) t.deepEqual(fleet.decide().preemptions, [])
})

test('one round preempts for at most three urgent jobs beyond the guarantee', (t) => {
  const fleet = new Fleet('r1', 'r1', 'r1', 'r1', 'r1', 'r1', 'r1')
  fleet.submit(createJob('small', { taskCount: 56 }))
  fleet.decide()
  // Two jobs are within the guarantee, the other five beyond it.
  for (const at of [0, 1, 2, 3, 4, 5, 6]) {
    fleet.submit(createJob(`urgent${at}`, createGang(1, 8)), 0)
  }
  const helped = () => new Set(fleet.decide().preemptions.map(({ forJobId }) => forJobId)).size
  t.is(helped(), 2 + 3)
})

test('no more runs are preempted than needed', (t) => {
  const fleet = new Fleet('r1', 'r1')
  for (const at of [0, 1, 2, 3]) fleet.submit(createJob(`borrower${at}`, createGang(1, 4)))
  fleet.decide()
  fleet.submit(createJob('guaranteed', createGang(1, 4)), 0)
  t.is(fleet.decide().preemptions.length, 1)
})

test('a wide gang is not preempted for one upstream if stopping small runs frees one at a lower total cost', (t) => {
  const fleet = new Fleet('r1', 'r1', 'r1')
  fleet.submit(createJob('wide', createGang(2, 8)))
  fleet.submit(createJob('small', { taskCount: 8 }))
  t.is(fleet.decide().placements.length, 10)
  // Per accelerator the gang is cheaper: 1.25 core-seconds instead of 1.5.
  fleet.stopCosts.set('wide', 10)
  fleet.stopCosts.set('small', 1.5)
  fleet.submit(createJob('guaranteed', createGang(1, 8)), 0)
  const stopped = fleet.decide().preemptions.map(({ run }) => run.jobId)
  t.deepEqual(new Set(stopped), new Set(['small']))
})

test('a gang of several tasks gets the upstreams that are cheapest to free', (t) => {
  const fleet = new Fleet('r1', 'r1', 'r1')
  for (const at of [0, 1, 2]) {
    fleet.submit(createJob(`borrower${at}`, createGang(1, 8)))
    fleet.stopCosts.set(`borrower${at}`, 3 - at)
  }
  fleet.decide()
  fleet.submit(createJob('guaranteed', createGang(2, 8)), 0)
  const stopped = fleet.decide().preemptions.map(({ run }) => run.jobId)
  t.deepEqual(new Set(stopped), new Set(['borrower1', 'borrower2']))
})

test('a failed task is placed on another upstream, and on the same one only if no other could take it', (t) => {
  const fleet = new Fleet('r1', 'r1')
  fleet.submit(createJob('j', { taskCount: 1 }))
  const [first] = fleet.decide().placements
  if (first !== undefined) fleet.end(first, 'failed')
  const [second] = fleet.decide().placements
  t.not(second?.upstreamId, first?.upstreamId)
  t.is(second?.attempt, 2)
  const alone = new Fleet('r1')
  alone.submit(createJob('j', {}))
  const [only] = alone.decide().placements
  if (only !== undefined) alone.end(only, 'failed')
  t.is(alone.decide().placements.length, 1)
})

test('no capacity is reserved for a waiting gang that is not overdue: smaller work starts', (t) => {
  const fleet = new Fleet('r1', 'r1')
  fleet.submit(createJob('first', createGang(1, 4)))
  fleet.decide()
  fleet.submit(createJob('waits', createGang(2, 8)))
  fleet.submit(createJob('long', { expectedRunTimeMs: 5000 }))
  t.deepEqual(
    fleet.decide().placements.map(({ jobId }) => jobId),
    ['long'],
  )
})
