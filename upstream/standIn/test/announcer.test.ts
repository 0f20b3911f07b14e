import test, { type ExecutionContext } from 'ava'
import { announcementSchema, type Announcement } from '@nettlespur/api.schemas'
import type { ManualClock } from '@nettlespur/core.clock'
import { tryAsync } from '@nettlespur/core.errors'
import { createHttpServer, type HttpRequest, type Route } from '@nettlespur/net.server'
import { createReservation, createTrial } from './createTrial.js'

/** 90% of the interval the fake entry names, as the random number of these tests is 0.5. */
const nextDueMs = 900
const random = () => 0.5

interface FakeEntry {
  readonly address: string
  readonly announcements: Announcement[]
}

test('an upstream announces itself at the interval the answer names, with its tasks', async (t) => {
  const entry = await startEntry(t)
  const { clock, standIn, client } = await createTrial(t, { entries: [entry.address], random })
  await waitForCount(entry, 1)
  await client.reserve(standIn.address, 't1', createReservation()).run()
  await waitForSleep(clock)
  await clock.advance(899)
  t.is(entry.announcements.length, 1)
  await clock.advance(1)
  await waitForCount(entry, 2)
  t.like(entry.announcements[1], {
    address: standIn.address,
    slots: 2,
    accelerators: 8,
    state: 'ready',
    tasks: [{ taskId: 't1', fence: 5, state: 'reserved' }],
  })
})

test('an upstream that leaves says so at once, and to the next entry where one is gone', async (t) => {
  const entry = await startEntry(t)
  const { standIn } = await createTrial(t, { entries: ['127.0.0.1:1', entry.address] })
  await waitForCount(entry, 1)
  await standIn.leave()
  t.deepEqual(
    entry.announcements.map(({ state }) => state),
    ['ready', 'leaving'],
  )
})

test('leaving does not wait for an announcement that an entry holds in silence', async (t) => {
  const entry = await startEntry(t, { holdsFirst: true })
  const { standIn } = await createTrial(t, { entries: [entry.address] })
  await waitForCount(entry, 1)
  await standIn.leave()
  t.is(entry.announcements.at(-1)?.state, 'leaving')
})

test('an upstream told to be silent announces nothing', async (t) => {
  const entry = await startEntry(t)
  const { clock, standIn } = await createTrial(t, { entries: [entry.address], random })
  await waitForCount(entry, 1)
  await waitForSleep(clock)
  standIn.faults.set({ silentAnnouncements: true })
  await clock.advance(20_000)
  await standIn.leave()
  t.is(entry.announcements.length, 1)
})

async function startEntry(t: ExecutionContext, opts = { holdsFirst: false }): Promise<FakeEntry> {
  const announcements: Announcement[] = []
  const announce: Route = {
    method: 'POST',
    path: '/v1/upstreams/:upstreamId/announce',
    handle: (request) =>
      request.readJson(announcementSchema).chain((announcement) => {
        announcements.push(announcement)
        const isHeld = opts.holdsFirst && announcements.length === 1
        return tryAsync(async () => {
          if (isHeld) await waitUntilGone(request)
          return { status: 200, json: { nextAnnouncementMs: 1000 } }
        })
      }),
  }
  const server = await createHttpServer({ address: '127.0.0.1:0', routes: [announce] })
  t.teardown(() => {
    server.destroy()
    return server.drain()
  })
  return { address: server.address, announcements }
}

function waitUntilGone(request: HttpRequest): Promise<void> {
  return new Promise((resolve) => {
    request.callerGone.addEventListener('abort', () => {
      resolve()
    })
  })
}

async function waitForCount(entry: FakeEntry, count: number): Promise<void> {
  while (entry.announcements.length < count) await new Promise(setImmediate)
}

/** Resolves when the announcer has its answer and waits for the next announcement. */
async function waitForSleep(clock: ManualClock): Promise<void> {
  while (clock.nextDueMs !== nextDueMs) await new Promise(setImmediate)
}
