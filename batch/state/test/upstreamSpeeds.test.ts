/** Guards against learned speeds that are lost in snapshots or outlive their upstreams, and against unreadable snapshots. */
import { createConfig, createUpstream } from '@nettlespur/batch.samples'
import test from 'ava'
import { BatchMachine, batchSnapshotSchema, BatchState, encodeCommand } from '../src/index.js'

const speed = { upstreamId: 'u1', mean: 0.6, logSpread: 0.2 }

function createState(): BatchState {
  const state = new BatchState()
  state.apply({ type: 'apply-config', config: createConfig(1) })
  state.apply({ type: 'note-upstream', description: createUpstream('u1') })
  return state
}

test('a noted speed replaces the one before, and is dropped with its upstream', (t) => {
  const state = createState()
  t.is(state.apply({ type: 'note-speeds', speeds: [speed] }), 'done')
  t.is(state.apply({ type: 'note-speeds', speeds: [{ ...speed, mean: 0.9 }] }), 'done')
  t.is(state.speeds.get('u1')?.mean, 0.9)
  state.apply({ type: 'forget-upstreams', upstreamIds: ['u1'] })
  t.is(state.speeds.size, 0)
})

// A command proposed before the upstream was forgotten would otherwise leave an entry for good.
test('the speed of an unknown upstream is left out', (t) => {
  const state = createState()
  t.is(
    state.apply({ type: 'note-speeds', speeds: [{ ...speed, upstreamId: 'gone' }] }),
    'unchanged',
  )
  t.is(state.speeds.size, 0)
})

test('an upstream that still holds runs keeps its speed', (t) => {
  const state = createState()
  const placement = { jobId: 'j', step: 0, index: 0, attempt: 1, upstreamId: 'u1' }
  state.placements.add(placement)
  state.apply({ type: 'note-speeds', speeds: [speed] })
  state.apply({ type: 'forget-upstreams', upstreamIds: ['u1'] })
  t.is(state.speeds.size, 1)
})

test('a snapshot with speeds is restored with them', (t) => {
  const machine = new BatchMachine()
  const description = createUpstream('u1')
  machine.apply(1, encodeCommand({ type: 'note-upstream', description }))
  machine.apply(2, encodeCommand({ type: 'note-speeds', speeds: [speed] }))
  const restored = new BatchMachine()
  restored.restore(2, machine.takeSnapshot())
  t.deepEqual(restored.state.speeds.get('u1'), speed)
})

// Earlier builds refuse fields that they do not know.
test('a snapshot without speeds has no field for them, and one without the field is read', (t) => {
  const snapshot = createState().snapshot()
  t.false('speeds' in snapshot)
  const restored = BatchState.restore(
    batchSnapshotSchema.parse(JSON.parse(JSON.stringify(snapshot))),
  )
  t.is(restored.speeds.size, 0)
})

test('a speed that is not positive is refused as a damaged record', (t) => {
  for (const fields of [{ mean: 0 }, { mean: -1 }, { logSpread: 0 }]) {
    const speeds = [{ ...speed, ...fields }]
    t.throws(() => new BatchMachine().apply(1, encodeCommand({ type: 'note-speeds', speeds })))
  }
})
