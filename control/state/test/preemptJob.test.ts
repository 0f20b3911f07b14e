import { createContract, createJobRequest } from '@nettlespur/control.fakes'
import test from 'ava'
import fc from 'fast-check'
import { ControlState, readJob, type Command } from '../src/index.js'

const at = '2026-01-01T00:00:00.000Z'

function startJob(fields: { repeatable: boolean; checkpointable: boolean }) {
  const state = ControlState.create()
  const apply = (command: Command) => state.apply(state.appliedIndex + 1, command)
  const change = { changeId: 'c', expectedRevision: 0, contract: createContract('demo') }
  apply({ type: 'contract.apply', at, change })
  const submitted = apply({ type: 'job.submit', at, request: createJobRequest(fields) })
  const { jobId } = readJob(submitted).unsafeCoerce()
  const assignments = [{ upstreamId: 'u', address: 'a', acceleratorIndexes: [0] }]
  apply({ type: 'job.place', at, jobId, assignments, reason: 'r' })
  const fence = state.appliedIndex
  apply({ type: 'job.started', at, jobId, fence })
  return { state, apply, head: { at, jobId, fence, reason: 'r' } }
}

const fields = fc.record({ repeatable: fc.boolean(), checkpointable: fc.boolean() })

test('a started job is preempted only if it is repeatable, or with a checkpoint if it is checkpointable', (t) => {
  const property = fc.property(fields, fc.boolean(), (request, withCheckpoint) => {
    const { apply, head, state } = startJob(request)
    apply({ type: 'job.preempt', ...head, withCheckpoint })
    const isAllowed = withCheckpoint ? request.checkpointable : request.repeatable
    t.is(state.getLiveJob(head.jobId)?.state, isAllowed ? 'stopping' : 'running')
  })
  fc.assert(property)
})

test('a started job that is not repeatable is requeued only if it was preempted with a checkpoint', (t) => {
  const property = fc.property(fc.boolean(), fc.boolean(), (isPreempted, hasCheckpoint) => {
    const { apply, head, state } = startJob({ repeatable: false, checkpointable: true })
    if (isPreempted) apply({ type: 'job.preempt', ...head, withCheckpoint: true })
    const sent = { startSent: true, countsAsFailure: false, retryAt: at }
    const checkpoint = hasCheckpoint ? { checkpointId: 'c' } : {}
    apply({ type: 'job.requeue', ...head, ...sent, ...checkpoint })
    const isQueued = state.getLiveJob(head.jobId)?.state === 'queued'
    t.is(isQueued, isPreempted && hasCheckpoint)
  })
  fc.assert(property)
})
