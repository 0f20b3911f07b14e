import test from 'ava'
import { ManualClock } from '@nettlespur/core.clock'
import {
  createAnnouncement,
  createContract,
  createUpstream,
  RecordingLogger,
} from '@nettlespur/entry.fakes'
import fc from 'fast-check'
import { ClusterView } from '../src/index.js'

function createView() {
  const clock = new ManualClock()
  const logger = new RecordingLogger()
  return { clock, logger, view: new ClusterView({ clock, logger }) }
}

function createUpdate(change: Partial<Parameters<ClusterView['apply']>[0]> = {}) {
  return {
    epoch: 'first',
    contractIndex: 0,
    contracts: [],
    upstreamVersion: 0,
    upstreams: [],
    entries: [],
    contractLeaseMs: 4000,
    ...change,
  }
}

test('the contract lease is counted from the moment the watch request was sent', async (t) => {
  const { clock, view } = createView()
  t.is(view.lease.getRefusal()?.kind, 'contract-lease-expired')
  const sentMs = clock.monotonicMs()
  await clock.advance(1500)
  view.apply(createUpdate(), sentMs)
  t.true(view.lease.held.value)
  await clock.advance(2499)
  t.is(view.lease.getRefusal(), undefined)
  await clock.advance(1)
  t.like(view.lease.getRefusal(), { kind: 'contract-lease-expired', retryAfterMs: 1000 })
  t.false(view.lease.held.value)
})

test('an update that arrives after its lease has ended does not make the lease held', async (t) => {
  const { clock, view } = createView()
  await clock.advance(5000)
  view.apply(createUpdate(), 0)
  t.false(view.lease.isHeld())
})

test('a contract is never replaced by an older one, in whatever order and epochs updates arrive', (t) => {
  const step = fc.record({
    epoch: fc.constantFrom('first', 'second', 'third'),
    contractIndex: fc.integer({ min: 0, max: 9 }),
    records: fc.array(
      fc.record({
        workspace: fc.constantFrom('a', 'b'),
        changeIndex: fc.integer({ min: 1, max: 9 }),
      }),
    ),
  })
  fc.assert(
    fc.property(fc.array(step, { maxLength: 20 }), (steps) => {
      const { view } = createView()
      for (const { epoch, contractIndex, records } of steps) {
        const before = new Map(view.contracts.value)
        const contracts = records.map(({ workspace, changeIndex }) => ({
          contract: createContract({ workspace }),
          revision: changeIndex,
          changeIndex,
        }))
        view.apply(createUpdate({ epoch, contractIndex, contracts }), 0)
        for (const [workspace, held] of before) {
          const after = view.contracts.value.get(workspace)
          if (after === undefined || after.changeIndex < held.changeIndex) return false
        }
      }
      return true
    }),
  )
  t.pass()
})

test('an update older than the contracts held is ignored and logged', (t) => {
  const { logger, view } = createView()
  t.true(view.apply(createUpdate({ contractIndex: 5 }), -3000))
  t.false(view.apply(createUpdate({ contractIndex: 4, epoch: 'second' }), 0))
  t.is(view.position.epoch, 'first')
  t.is(logger.named('view.update-ignored').length, 1)
})

test('a new epoch replaces the upstreams; within one they are merged', (t) => {
  const { view } = createView()
  const [u1, u2] = [createUpstream(), createUpstream({ upstreamId: 'u2' })]
  view.apply(createUpdate({ upstreams: [u1] }), 0)
  view.apply(createUpdate({ upstreams: [u2] }), 0)
  t.deepEqual([...view.upstreams.value.keys()], ['u1', 'u2'])
  view.apply(createUpdate({ epoch: 'second', upstreams: [u2] }), 0)
  t.deepEqual([...view.upstreams.value.keys()], ['u2'])
})

test('an upstream that announced to this entry that it leaves stays leaving until control reports it as leaving', (t) => {
  const { view } = createView()
  const stateOf = () => view.upstreams.value.get('u1')?.state
  view.apply(createUpdate({ upstreams: [createUpstream()] }), 0)
  view.applyAnnouncement('u1', createAnnouncement({ state: 'leaving' }))
  t.is(stateOf(), 'leaving')
  view.apply(createUpdate({ upstreams: [createUpstream()] }), 0)
  t.is(stateOf(), 'leaving')
  view.apply(createUpdate({ upstreams: [createUpstream({ state: 'leaving' })] }), 0)
  view.apply(createUpdate({ upstreams: [createUpstream()] }), 0)
  t.is(stateOf(), 'ready')
})
