/** Rounds while data centres are evacuated. Guards against starts there, and against jobs that wait without a reason. */
import { createJob, createUpstream } from '@nettlespur/batch.samples'
import test from 'ava'
import { createGang, Fleet } from '../__utils__/index.js'

const dataCentre = 'north'
const whole = { cpuMillicores: 1000, memoryMiB: 1000, accelerators: 8 }

/** Two upstreams in the rack `r1` of another data centre, and two in `r2` of the north. */
function startFleet(): Fleet {
  const fleet = new Fleet('r1', 'r1', 'r2', 'r2')
  for (const upstreamId of ['u2', 'u3']) {
    const description = { ...createUpstream(upstreamId, 'r2'), dataCentre }
    fleet.state.apply({ type: 'note-upstream', description })
  }
  return fleet
}

function change(fleet: Fleet, isInForce: boolean): void {
  const { revision: expectedRevision } = fleet.state.evacuations.find(dataCentre)
  const order = { dataCentre, isInForce, expectedRevision }
  fleet.state.apply({ type: 'change-evacuation', change: order })
}

function listStarted(fleet: Fleet): string[] {
  return fleet.decide().placements.map(({ upstreamId }) => upstreamId)
}

test('nothing starts in an evacuated data centre, and its room is there again as soon as it is taken back', (t) => {
  const fleet = startFleet()
  change(fleet, true)
  fleet.submit(createJob('j', { needs: whole, taskCount: 4 }))
  t.deepEqual(listStarted(fleet).sort(), ['u0', 'u1'])
  change(fleet, false)
  t.deepEqual(listStarted(fleet).sort(), ['u2', 'u3'])
})

test('what runs in an evacuated data centre is neither stopped for it nor for other work', (t) => {
  const fleet = startFleet()
  fleet.guaranteedAccelerators = 16
  fleet.submit(createJob('borrower', { needs: whole, taskCount: 4 }))
  t.is(listStarted(fleet).length, 4)
  change(fleet, true)
  fleet.submit(createJob('guaranteed', createGang(2, 8)), 0)
  const { preemptions } = fleet.decide()
  t.deepEqual(preemptions.map(({ run }) => run.upstreamId).sort(), ['u0', 'u1'])
})

test('a guaranteed gang that prefers the evacuated rack starts elsewhere at once', (t) => {
  const fleet = startFleet()
  change(fleet, true)
  fleet.submit(createJob('gang', createGang(2, 8, { dataRack: 'r2', prefersOneRack: true })), 0)
  t.deepEqual(listStarted(fleet).sort(), ['u0', 'u1'])
})

test('a job that fits only in the evacuated data centre starves, and the reason names the evacuation', (t) => {
  const fleet = startFleet()
  change(fleet, true)
  fleet.submit(createJob('wide', createGang(3, 8)))
  fleet.submit(createJob('bound', { needs: whole, requiredLabel: 'r2' }))
  fleet.submit(createJob('elsewhere', { needs: whole, taskCount: 2 }))
  const { placements, starving } = fleet.decide()
  t.deepEqual([...new Set(placements.map(({ jobId }) => jobId))], ['elsewhere'])
  t.deepEqual(
    starving.map(({ jobId, explain }) => [jobId, explain()]),
    [
      ['wide', 'evacuated-data-centre'],
      ['bound', 'evacuated-data-centre'],
    ],
  )
  change(fleet, false)
  t.true(listStarted(fleet).includes('u2'))
})

test('while every data centre is evacuated nothing starts, and all goes on once they are taken back', (t) => {
  const fleet = new Fleet('r1', 'r2')
  const order = { dataCentre: 'centre', isInForce: true, expectedRevision: 0 }
  fleet.state.apply({ type: 'change-evacuation', change: order })
  fleet.submit(createJob('gang', createGang(2, 8)), 0)
  t.deepEqual(listStarted(fleet), [])
  const withdrawal = { ...order, isInForce: false, expectedRevision: 1 }
  fleet.state.apply({ type: 'change-evacuation', change: withdrawal })
  t.is(listStarted(fleet).length, 2)
})

test('urgent work starts on warm upstreams where they have room, and on cold ones rather than wait', (t) => {
  const fleet = startFleet()
  for (const upstreamId of ['u0', 'u1', 'u2']) fleet.cold.add(upstreamId)
  fleet.submit(createJob('first', { needs: whole }), 0)
  t.deepEqual(listStarted(fleet), ['u3'])
  fleet.submit(createJob('second', { needs: whole }), 0)
  t.is(listStarted(fleet).length, 1)
})
