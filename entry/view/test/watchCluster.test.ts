import test from 'ava'
import { ManualClock } from '@nettlespur/core.clock'
import { createContract, FakeControl, RecordingLogger } from '@nettlespur/entry.fakes'
import { announceLeaving, ClusterView, watchCluster } from '../src/index.js'

const entry = {
  entryId: 'entry-1',
  address: '127.0.0.1:1',
  peerAddress: '127.0.0.1:2',
  dataCentre: 'dc1',
}

function start() {
  const clock = new ManualClock()
  const logger = new RecordingLogger()
  const control = new FakeControl(clock)
  const view = new ClusterView({ clock, logger })
  const opts = { clock, logger, control, view, entry, waitMs: 1000, random: () => 0.5 }
  const stopping = new AbortController()
  const ended = watchCluster(opts, stopping.signal)
  const stop = async () => {
    stopping.abort()
    await ended
  }
  return { clock, logger, control, view, opts, stop }
}

test('a contract change arrives during an open poll, and polls keep the lease renewed', async (t) => {
  const { clock, control, view, stop } = start()
  await clock.advance(10_000)
  t.true(view.lease.isHeld())
  control.putContract(createContract())
  await clock.advance(0)
  t.is(view.contracts.value.get('thapa')?.revision, 1)
  await stop()
})

test('an entry cut off from control loses its lease, polls with backoff, and recovers', async (t) => {
  const { clock, control, logger, view, stop } = start()
  await clock.advance(500)
  control.failure = 'unreachable'
  await clock.advance(6000)
  t.false(view.lease.isHeld())
  const failures = logger.named('view.watch-failed').length
  t.true(failures >= 5 && failures <= 20, `${failures} polls in 6 s`)
  control.failure = undefined
  control.epoch = 'second'
  control.putContract(createContract())
  await clock.advance(1000)
  t.true(view.lease.isHeld())
  t.is(view.position.epoch, 'second')
  t.is(view.contracts.value.get('thapa')?.revision, 1)
  await stop()
})

test('a stop ends the watch during an open poll, and control is then told that the entry leaves', async (t) => {
  const { clock, control, opts, stop } = start()
  await clock.advance(10)
  await stop()
  await announceLeaving(opts)
  t.true(control.watched.at(-1)?.leaving)
})
