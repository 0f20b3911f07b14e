import type { ContractChange } from '@nettlespur/api.schemas'
import { createContract, createJobRequest } from '@nettlespur/control.fakes'
import test from 'ava'
import fc from 'fast-check'
import {
  ControlState,
  readContract,
  readJob,
  stateSnapshotSchema,
  type Command,
} from '../src/index.js'

const at = '2026-01-01T00:00:00.000Z'

function change(changeId: string, expectedRevision: number, weight = 1): ContractChange {
  return { changeId, expectedRevision, contract: { ...createContract('demo'), weight } }
}

function apply(state: ControlState, command: Command) {
  return state.apply(state.appliedIndex + 1, command)
}

function applyChange(state: ControlState, contractChange: ContractChange) {
  return readContract(apply(state, { type: 'contract.apply', at, change: contractChange }))
}

/** Redirects a job command to a live job, and in most cases to the fence of its current placement. */
function targetLiveJob(state: ControlState, command: Command): Command {
  if (!('jobId' in command)) return command
  const jobs = state.listLiveJobs()
  const job = jobs[Number(command.jobId.slice('job-'.length)) % Math.max(1, jobs.length)]
  if (job === undefined) return command
  const aimed = { ...command, jobId: job.jobId }
  const usesCurrentFence = 'fence' in command && command.fence > 4
  return usesCurrentFence ? ({ ...aimed, fence: job.placement?.fence ?? 1 } as Command) : aimed
}

function restoreFrom(state: ControlState): ControlState {
  const text = JSON.stringify(state.snapshot())
  return ControlState.restore(stateSnapshotSchema.parse(JSON.parse(text)))
}

const changes = fc.record({
  changeId: fc.integer({ min: 0, max: 8 }).map((id) => `change-${id}`),
  expectedRevision: fc.integer({ min: 0, max: 5 }),
  weight: fc.integer({ min: 1, max: 3 }),
})
const jobIds = fc.integer({ min: 1, max: 12 }).map((index) => `job-${index}`)
const fences = fc.integer({ min: 1, max: 40 })
const commands: fc.Arbitrary<Command> = fc.oneof(
  changes.map(({ changeId, expectedRevision, weight }): Command => {
    return { type: 'contract.apply', at, change: change(changeId, expectedRevision, weight) }
  }),
  fc
    .record({ jobKey: fc.constantFrom('a', 'b', 'c'), repeatable: fc.boolean() })
    .map((fields): Command => ({ type: 'job.submit', at, request: createJobRequest(fields) })),
  fc.record({ jobId: jobIds, index: fc.integer({ min: 0, max: 3 }) }).map(({ jobId, index }) => {
    const assignments = [{ upstreamId: 'u', address: 'a', acceleratorIndexes: [index] }]
    return { type: 'job.place' as const, at, jobId, assignments, reason: 'r' }
  }),
  fc.record({
    type: fc.constant('job.started' as const),
    at: fc.constant(at),
    jobId: jobIds,
    fence: fences,
  }),
  fc.record({ jobId: jobIds, fence: fences }).map(({ jobId, fence }) => {
    const parts = [{ taskId: 't', upstreamId: 'u', body: 'b' }]
    return { type: 'job.finish' as const, at, jobId, fence, parts }
  }),
  fc.record({ jobId: jobIds, fence: fences, startSent: fc.boolean() }).map((fields) => {
    return {
      type: 'job.requeue' as const,
      at,
      reason: 'r',
      retryAt: at,
      countsAsFailure: true,
      ...fields,
    }
  }),
  fc.record({ jobId: jobIds, fence: fences, withCheckpoint: fc.boolean() }).map((fields) => {
    return { type: 'job.preempt' as const, at, reason: 'r', ...fields }
  }),
  fc.record({ jobId: jobIds, fence: fences }).map((fields) => {
    return { type: 'job.keep' as const, at, reason: 'r', ...fields }
  }),
  jobIds.map((jobId) => ({ type: 'job.refuse' as const, at, jobId, reason: 'r' })),
  jobIds.map((jobId) => ({ type: 'job.cancel' as const, at, workspace: 'demo', jobId })),
  fc
    .record({
      jobId: jobIds,
      fence: fences,
      outcome: fc.constantFrom('failed', 'cancelled', 'unknown'),
    })
    .map((fields) => ({ type: 'job.ended' as const, at, reason: 'r', ...fields })),
)

test('contract revisions never decrease, and each accepted change raises the revision by one', (t) => {
  const property = fc.property(fc.array(changes, { minLength: 20, maxLength: 60 }), (list) => {
    const state = ControlState.create()
    let revision = 0
    for (const { changeId, expectedRevision, weight } of list) {
      applyChange(state, change(changeId, expectedRevision, weight))
      const next = state.getContract('demo')?.revision ?? 0
      if (next !== revision && next !== revision + 1) return false
      revision = next
    }
    return true
  })
  t.notThrows(() => {
    fc.assert(property)
  })
})

test('a resent change gets its first result, even after later changes and a snapshot', (t) => {
  const property = fc.property(fc.integer({ min: 0, max: 20 }), fc.boolean(), (later, restored) => {
    const before = ControlState.create()
    const first = applyChange(before, change('first', 0)).extract()
    for (let step = 0; step < later; step++)
      applyChange(before, change(`later-${step}`, step + 1, 2))
    const state = restored ? restoreFrom(before) : before
    const again = applyChange(state, change('first', 0)).extract()
    t.deepEqual(again, first)
    t.is(state.getContract('demo')?.revision, later + 1)
  })
  fc.assert(property)
})

test('of two changes that expect the same revision, the second is refused with the id of the first', (t) => {
  const state = ControlState.create()
  t.true(applyChange(state, change('winner', 0)).isRight())
  const refused = applyChange(state, change('loser', 0, 2))
    .swap()
    .extract()
  t.like(refused, {
    kind: 'stale-revision',
    message: 'the contract of demo is at revision 1, made by change winner; the change expected 0',
  })
  t.like(
    applyChange(state, change('winner', 0, 2))
      .swap()
      .extract(),
    { kind: 'change-id-conflict' },
  )
  t.is(state.getContract('demo')?.contract.weight, 1)
})

test('a state restored from a snapshot ends up equal to one that was never interrupted', (t) => {
  const property = fc.property(
    fc.array(commands, { minLength: 30, maxLength: 80 }),
    fc.nat(80),
    (list, restoreStep) => {
      const whole = ControlState.create()
      let restored = ControlState.create()
      for (const state of [whole, restored]) applyChange(state, change('initial', 0))
      for (const [step, command] of list.entries()) {
        if (step === restoreStep) restored = restoreFrom(restored)
        const aimed = targetLiveJob(whole, command)
        apply(whole, aimed)
        apply(restored, aimed)
      }
      t.deepEqual(restored.snapshot(), whole.snapshot())
    },
  )
  fc.assert(property)
})

test('for any sequence of commands, no accelerator is allocated twice and no unrepeatable job starts twice', (t) => {
  const property = fc.property(fc.array(commands, { minLength: 60, maxLength: 120 }), (list) => {
    const state = ControlState.create()
    applyChange(state, change('initial', 0))
    const mayHaveRun = new Set<string>()
    for (const proposed of list) {
      const command = targetLiveJob(state, proposed)
      const result = apply(state, command)
      const held = state.listLiveJobs().flatMap((job) => job.placement?.members ?? [])
      const indexes = held.flatMap((member) => member.acceleratorIndexes)
      t.is(new Set(indexes).size, indexes.length)
      if (result.type !== 'job') continue
      const { jobId, request } = result.job
      if (command.type === 'job.started' && !request.repeatable) {
        t.false(mayHaveRun.has(jobId))
        mayHaveRun.add(jobId)
      }
      if (command.type === 'job.requeue' && !command.startSent) mayHaveRun.delete(jobId)
    }
  })
  fc.assert(property)
})

test('a job key returns the same job, refuses a different body, and stays valid after the job has ended', (t) => {
  const state = ControlState.create()
  applyChange(state, change('initial', 0))
  const submit = (cpuCores: number) =>
    readJob(
      apply(state, {
        type: 'job.submit',
        at,
        request: createJobRequest({ jobKey: 'k', cpuCores }),
      }),
    )
  const first = submit(1).unsafeCoerce()
  t.is(submit(1).unsafeCoerce().jobId, first.jobId)
  t.like(submit(2).swap().extract(), { kind: 'idempotency-conflict' })
  apply(state, { type: 'job.cancel', at, workspace: 'demo', jobId: first.jobId })
  t.like(submit(1).unsafeCoerce(), { jobId: first.jobId, state: 'cancelled' })
})

test('a submission is refused if the queue is full or the gang exceeds the limits of the contract', (t) => {
  const state = ControlState.create()
  const contract = createContract('demo', { queuedJobs: 1, largestGangAccelerators: 4 })
  applyChange(state, { changeId: 'c', expectedRevision: 0, contract })
  const submit = (accelerators: number) => {
    const request = createJobRequest({ gang: { accelerators, adjacency: 'none' } })
    return readJob(apply(state, { type: 'job.submit', at, request }))
  }
  t.like(submit(5).swap().extract(), { kind: 'impossible-shape' })
  t.true(submit(1).isRight())
  t.like(submit(1).swap().extract(), { kind: 'queue-full' })
})

test('a workspace can neither read nor cancel the job of another workspace', (t) => {
  const state = ControlState.create()
  applyChange(state, change('initial', 0))
  const job = readJob(apply(state, { type: 'job.submit', at, request: createJobRequest() }))
  const { jobId } = job.unsafeCoerce()
  t.is(state.getJob('other', jobId), undefined)
  const cancel = apply(state, { type: 'job.cancel', at, workspace: 'other', jobId })
  t.like(readJob(cancel).swap().extract(), { kind: 'unknown-job' })
  t.is(state.getJob('demo', jobId)?.state, 'queued')
})

test('a started job that is not repeatable is requeued only if no start was sent', (t) => {
  const property = fc.property(fc.boolean(), fc.boolean(), (repeatable, startSent) => {
    const state = ControlState.create()
    applyChange(state, change('initial', 0))
    const request = createJobRequest({ repeatable })
    const submitted = readJob(apply(state, { type: 'job.submit', at, request }))
    const { jobId } = submitted.unsafeCoerce()
    const assignments = [{ upstreamId: 'u', address: 'a', acceleratorIndexes: [0] }]
    apply(state, { type: 'job.place', at, jobId, assignments, reason: 'r' })
    const fence = state.appliedIndex
    apply(state, { type: 'job.started', at, jobId, fence })
    const head = { at, jobId, fence, reason: 'r', retryAt: at }
    apply(state, { type: 'job.requeue', ...head, startSent, countsAsFailure: true })
    t.is(state.getLiveJob(jobId)?.state, repeatable || !startSent ? 'queued' : 'running')
  })
  fc.assert(property)
})
