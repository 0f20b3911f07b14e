import test from 'ava'
import type { Announcements } from '@nettlespur/control.api'
import { ManualClock } from '@nettlespur/core.clock'
import type { NettlespurError } from '@nettlespur/core.errors'
import { createAnnouncement, FakeControl, RecordingLogger } from '@nettlespur/entry.fakes'
import { EitherAsync, Right } from 'purify-ts'
import { AnnouncementRelay } from '../src/index.js'

const callMs = 50

/** Takes its time for each call, so that announcements arrive while one is under way. */
class SlowControl extends FakeControl {
  constructor(private readonly clock: ManualClock) {
    super(clock)
  }

  override announce(announcements: Announcements): EitherAsync<NettlespurError, null> {
    const pause = EitherAsync.fromPromise(() => this.clock.sleep(callMs).then(() => Right(null)))
    return pause.chain(() => super.announce(announcements))
  }
}

async function start() {
  const clock = new ManualClock()
  const control = new SlowControl(clock)
  const relay = new AnnouncementRelay({
    clock,
    control,
    logger: new RecordingLogger(),
    random: () => 0.5,
  })
  const stopping = new AbortController()
  const ended = relay.run(stopping.signal)
  await clock.advance(0)
  const stop = async () => {
    stopping.abort()
    await clock.advance(callMs)
    await ended
  }
  return { clock, control, relay, stop }
}

function createTask(state: 'running' | 'finished', cpuCoresUsed: number) {
  return { taskId: 't1', fence: 1, state, cpuCoresUsed }
}

test('a changed announcement is forwarded at once, and unchanged ones are batched once a second', async (t) => {
  const { clock, control, relay, stop } = await start()
  relay.receive('u1', createAnnouncement({ tasks: [createTask('running', 1)] }))
  relay.receive('u2', createAnnouncement())
  await clock.advance(callMs)
  t.is(control.announced.length, 1)
  for (let tenths = 0; tenths < 30; tenths++) {
    relay.receive('u1', createAnnouncement({ tasks: [createTask('running', tenths)] }))
    relay.receive('u2', createAnnouncement())
    await clock.advance(100)
  }
  t.is(control.announced.length, 4)
  t.deepEqual(
    control.announced.at(-1)?.items.map((item) => item.upstreamId),
    ['u1', 'u2'],
  )
  relay.receive('u1', createAnnouncement({ state: 'leaving' }))
  await clock.advance(callMs)
  t.is(control.announced.at(-1)?.items[0]?.announcement.state, 'leaving')
  await stop()
})

test('an announcement that could not be forwarded is retried, unless a newer one has arrived', async (t) => {
  const { clock, control, relay, stop } = await start()
  control.failure = 'unreachable'
  relay.receive('u1', createAnnouncement())
  relay.receive('u2', createAnnouncement())
  await clock.advance(callMs - 1)
  relay.receive('u1', createAnnouncement({ state: 'leaving' }))
  await clock.advance(1)
  control.failure = undefined
  await clock.advance(600)
  t.is(control.announced.length, 1)
  const states = control.announced[0]?.items.map((item) => item.announcement.state)
  t.deepEqual(states?.sort(), ['leaving', 'ready'])
  await stop()
})

test('a stop forwards the announcements that are still queued', async (t) => {
  const { clock, control, relay, stop } = await start()
  relay.receive('u1', createAnnouncement())
  await clock.advance(callMs)
  relay.receive('u1', createAnnouncement())
  await stop()
  t.is(control.announced.length, 2)
})
