/** Evacuations in the replicated state. Guards against starts there, and against orders that come back after later ones. */
import { createConfig, createJob, createUpstream } from '@nettlespur/batch.samples'
import test from 'ava'
import fc from 'fast-check'
import { BatchMachine, BatchState, encodeCommand, type CommandOutcome } from '../src/index.js'

const dataCentre = 'north'

function createState(): BatchState {
  const state = new BatchState()
  state.apply({ type: 'apply-config', config: createConfig(1) })
  state.apply({ type: 'note-upstream', description: { ...createUpstream('n1'), dataCentre } })
  state.apply({ type: 'note-upstream', description: createUpstream('c1') })
  return state
}

function change(state: BatchState, isInForce: boolean, expectedRevision: number): CommandOutcome {
  const order = { dataCentre, isInForce, expectedRevision }
  return state.apply({ type: 'change-evacuation', change: order })
}

function placement(index: number, upstreamId: string) {
  return { jobId: 'j', step: 0, index, attempt: 1, upstreamId }
}

function listPlaced(state: BatchState): string[] {
  return ['n1', 'c1'].flatMap((id) =>
    [...state.placements.getByUpstream(id).values()].map(({ upstreamId }) => upstreamId),
  )
}

test('an evacuation holds until it is withdrawn, and the same order again changes nothing', (t) => {
  const state = createState()
  t.false(state.isEvacuated('n1'))
  t.is(change(state, true, 0), 'done')
  t.is(change(state, true, 0), 'unchanged')
  t.true(state.isEvacuated('n1'))
  t.false(state.isEvacuated('c1'))
  t.is(change(state, false, 2), 'done')
  t.false(state.isEvacuated('n1'))
})

test('a copy of an order that comes after a later one has no effect', (t) => {
  const state = createState()
  change(state, true, 0)
  change(state, false, 1)
  t.is(change(state, true, 0), 'stale-revision')
  t.false(state.isEvacuated('n1'))
})

test('a copy of an order that was never acknowledged has no effect after a withdrawal that found nothing in force', (t) => {
  const state = createState()
  t.is(change(state, false, 0), 'unchanged')
  t.is(change(state, true, 0), 'stale-revision')
  t.false(state.isEvacuated('n1'))
})

const order = fc.record({
  isInForce: fc.boolean(),
  /** After how many later orders the copies of this one arrive. */
  copyDelays: fc.array(fc.nat(4), { maxLength: 3 }),
})

test('whatever copies of earlier orders arrive late, the last acknowledged order is in force', (t) => {
  fc.assert(
    fc.property(fc.array(order, { minLength: 1, maxLength: 12 }), (orders) => {
      const state = createState()
      const copies: { at: number; isInForce: boolean; revision: number }[] = []
      for (const [at, { isInForce, copyDelays }] of orders.entries()) {
        const { revision } = state.evacuations.find(dataCentre)
        copies.push(...copyDelays.map((delay) => ({ at: at + delay, isInForce, revision })))
        change(state, isInForce, revision)
        for (const copy of copies.filter((one) => one.at === at)) {
          change(state, copy.isInForce, copy.revision)
        }
        if (state.isEvacuated('n1') !== isInForce) return false
      }
      return true
    }),
  )
  t.pass()
})

test('a placement that was decided before the evacuation is not applied after it', (t) => {
  const state = createState()
  const request = createJob('j', { taskCount: 2 })
  state.apply({ type: 'submit-job', request, workspace: 'w1', queueName: 'queue1' })
  change(state, true, 0)
  const placements = [placement(0, 'n1'), placement(1, 'c1')]
  state.apply({ type: 'place-tasks', placements })
  t.deepEqual(listPlaced(state), ['c1'])
})

test('no member of a gang is placed if one of them was to start in an evacuated data centre', (t) => {
  const state = createState()
  const request = createJob('j', { taskCount: 2, isGang: true })
  state.apply({ type: 'submit-job', request, workspace: 'w1', queueName: 'queue1' })
  change(state, true, 0)
  const placements = [placement(0, 'c1'), placement(1, 'n1')]
  state.apply({ type: 'place-tasks', placements })
  t.deepEqual(listPlaced(state), [])
  t.deepEqual(
    state.jobs.get('j')?.steps[0]?.tasks.map(({ phase }) => phase),
    ['waiting', 'waiting'],
  )
})

test('evacuations and their revisions survive a snapshot, and one of an earlier version has none', (t) => {
  const machine = new BatchMachine()
  const before = machine.takeSnapshot()
  t.false(before.includes('evacuations'))
  const order = { dataCentre, isInForce: true, expectedRevision: 0 }
  machine.apply(1, encodeCommand({ type: 'change-evacuation', change: order }))
  const restored = new BatchMachine()
  restored.restore(1, machine.takeSnapshot())
  t.deepEqual(restored.state.evacuations.list(), [{ dataCentre, isInForce: true, revision: 1 }])
  restored.restore(2, before)
  t.deepEqual(restored.state.evacuations.list(), [])
})
