/** Evacuations in the replicated state. Guards against gangs that start in a data centre after its evacuation. */
import { createContract, createJobRequest } from '@nettlespur/control.fakes'
import test from 'ava'
import { ControlState, readJob, type Command } from '../src/index.js'

const at = '2026-01-01T00:00:00.000Z'
const dataCentre = 'north'
const assignments = [{ upstreamId: 'u', address: 'a', dataCentre, acceleratorIndexes: [0] }]

function createState() {
  const state = ControlState.create()
  const apply = (command: Command) => state.apply(state.appliedIndex + 1, command)
  const change = { changeId: 'c', expectedRevision: 0, contract: createContract('demo') }
  apply({ type: 'contract.apply', at, change })
  const { jobId } = readJob(
    apply({ type: 'job.submit', at, request: createJobRequest({}) }),
  ).unsafeCoerce()
  const order = (isInForce: boolean, expectedRevision: number) =>
    apply({
      type: 'evacuation.change',
      at,
      change: { dataCentre, isInForce, expectedRevision },
    })
  return { state, apply, order, jobId }
}

test('a gang that was to be placed before the evacuation is not placed after it, and is once it is withdrawn', (t) => {
  const { state, apply, order, jobId } = createState()
  order(true, 0)
  const place: Command = { type: 'job.place', at, jobId, assignments, reason: 'r' }
  t.is(apply(place).type, 'refused')
  t.is(state.getLiveJob(jobId)?.state, 'queued')
  order(false, 1)
  t.is(apply(place).type, 'job')
})

test('a gang that was placed before the evacuation does not start after it', (t) => {
  const { state, apply, order, jobId } = createState()
  apply({ type: 'job.place', at, jobId, assignments, reason: 'r' })
  const fence = state.appliedIndex
  order(true, 0)
  t.is(apply({ type: 'job.started', at, jobId, fence }).type, 'refused')
  t.is(state.getLiveJob(jobId)?.state, 'reserving')
})

test('a gang that runs goes on, and an order that comes late is refused', (t) => {
  const { state, apply, order, jobId } = createState()
  apply({ type: 'job.place', at, jobId, assignments, reason: 'r' })
  apply({ type: 'job.started', at, jobId, fence: state.appliedIndex })
  order(true, 0)
  t.is(state.getLiveJob(jobId)?.state, 'running')
  order(false, 1)
  t.like(order(true, 0), { type: 'refused', error: { kind: 'overtaken' } })
  t.false(state.isEvacuated(dataCentre))
})

test('evacuations survive a snapshot, and one of an earlier version has none', (t) => {
  const { state, order } = createState()
  order(true, 0)
  const snapshot = state.snapshot()
  t.true(ControlState.restore(snapshot).isEvacuated(dataCentre))
  t.false(ControlState.restore({ ...snapshot, evacuations: [] }).isEvacuated(dataCentre))
})
