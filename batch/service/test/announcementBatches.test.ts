/**
 * Guards against announcements that a relay acknowledges although the leader never got them: the leader would not know that
 * an upstream is there, or that it is leaving.
 */
import type { Announcement } from '@nettlespur/batch.model'
import { ManualClock } from '@nettlespur/core.clock'
import { NettlespurError, toErrorBody, type RpcResult } from '@nettlespur/core.errors'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import test from 'ava'
import { EitherAsync, Left, Right } from 'purify-ts'
import { AnnouncementBatches } from '../src/announcementBatches.js'

function createAnnouncement(upstreamId: string): Announcement {
  return {
    upstreamId,
    pool: 'pool',
    address: '127.0.0.1:9000',
    dataCentre: 'centre',
    rack: 'rack',
    labels: [],
    capacity: { cpuMillicores: 1, memoryMiB: 1, accelerators: 1 },
    isDraining: false,
    sequence: 1,
    clockMs: 1,
  }
}

function createBatches(
  answer: (announcements: readonly Announcement[]) => Promise<RpcResult<null>[]>,
) {
  const clock = new ManualClock()
  const sent: number[] = []
  const batches = new AnnouncementBatches({
    clock,
    metrics: new MetricsRegistry(),
    send: (announcements) => {
      sent.push(announcements.length)
      return EitherAsync.fromPromise(async () => {
        try {
          return Right(await answer(announcements))
        } catch (thrown) {
          return Left(thrown as NettlespurError)
        }
      })
    },
  })
  return { clock, sent, batches }
}

test('announcements that come within 20 ms are passed on together, and each gets its own outcome', async (t) => {
  const refusal = toErrorBody(new NettlespurError('invalid-field', 'refused'))
  const { clock, sent, batches } = createBatches((announcements) =>
    Promise.resolve(
      announcements.map(({ upstreamId }) =>
        upstreamId === 'bad' ? { ok: false, error: refusal } : { ok: true, value: null },
      ),
    ),
  )
  const outcomes = ['one', 'bad', 'two'].map((id) => batches.announce(createAnnouncement(id)).run())
  await clock.advance(20)
  const settled = await Promise.all(outcomes)
  t.deepEqual(
    settled.map((outcome) => outcome.isRight()),
    [true, false, true],
  )
  t.deepEqual(sent, [3])
})

test('no announcement is acknowledged before the leader has answered', async (t) => {
  let answerLeader = (): void => undefined
  const leaderAnswer = new Promise<void>((resolve) => {
    answerLeader = resolve
  })
  const { clock, batches } = createBatches(async () => {
    await leaderAnswer
    return [{ ok: true, value: null }]
  })
  let isAcknowledged = false
  const outcome = batches
    .announce(createAnnouncement('one'))
    .run()
    .then(() => {
      isAcknowledged = true
    })
  await clock.advance(1000)
  t.false(isAcknowledged)
  answerLeader()
  await outcome
  t.true(isAcknowledged)
})

test('if the leader does not answer for all announcements of a batch, the others are not acknowledged', async (t) => {
  const { clock, batches } = createBatches(() => Promise.resolve([{ ok: true, value: null }]))
  const outcomes = ['one', 'two'].map((id) => batches.announce(createAnnouncement(id)).run())
  await clock.advance(20)
  const settled = await Promise.all(outcomes)
  t.true(settled[0]?.isRight())
  t.is(settled[1]?.swap().toMaybe().extract()?.kind, 'outcome-unknown')
})

test('if the leader cannot be reached, every announcement of the batch is refused with the reason', async (t) => {
  const { clock, batches } = createBatches(() =>
    Promise.reject(new NettlespurError('not-leader', 'no leader')),
  )
  const outcomes = ['one', 'two'].map((id) => batches.announce(createAnnouncement(id)).run())
  await clock.advance(20)
  for (const outcome of await Promise.all(outcomes))
    t.is(outcome.swap().toMaybe().extract()?.kind, 'not-leader')
})
