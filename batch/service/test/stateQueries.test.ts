/**
 * Guards against state queries that fail although a leader is there and answers others. Entries are often idle for
 * seconds before a query, so they send it to the leader that they knew then, over a connection that may have gone
 * silent unnoticed.
 *
 * How a query fails: it is sent on a silent connection and not answered for 700 ms; a search for the leader takes up
 * to 300 ms more over connections that are just as silent; then the patience of 1,000 ms is over, and a caller that
 * allows 3,000 ms gets a 504. A read without an answer must therefore not end its call as a change does, since it can
 * be retried.
 */
import { createJob } from '@nettlespur/batch.samples'
import { NettlespurError } from '@nettlespur/core.errors'
import test, { type ExecutionContext } from 'ava'
import { MemberGroup } from '../__utils__/index.js'

/** The timings of the platform's processes. */
const timings = { callTimeoutMs: 700, patienceMs: 1000 }
/** The deadline that callers set for a query. */
const deadlineMs = 3000

async function startGroup(t: ExecutionContext): Promise<MemberGroup> {
  const group = await MemberGroup.start(3, timings)
  t.teardown(() => group.stop())
  group.nameLeader(0, 1, [0, 1, 2])
  t.is((await group.settle(ask(group, 'first'))).outcome.extract(), 'completed')
  return group
}

function ask({ client }: MemberGroup, jobId: string) {
  return client.getJobState({ host: 'h', path: `/q/${jobId}`, jobId }, { deadlineMs }).run()
}

test('a query is answered although all connections went silent and another leader was elected meanwhile', async (t) => {
  const group = await startGroup(t)
  for (const at of [0, 1, 2]) group.link(at).silence()
  group.link(0).isBlackholed = true
  group.nameLeader(1, 2, [1, 2])
  const { outcome, tookMs } = await group.settle(ask(group, 'a'))
  t.is(outcome.extract(), 'completed', `after ${tookMs} ms`)
  t.true(tookMs < deadlineMs, `${tookMs} ms`)
})

test('a query is answered although its connection carries only answers to earlier queries', async (t) => {
  const group = await startGroup(t)
  let release: () => void = () => undefined
  group.member(0).answerState = () =>
    new Promise((resolve) => {
      release = () => {
        resolve('running')
      }
    })
  const earlier = ask(group, 'earlier')
  while (!group.member(0).asked.includes('earlier')) await nextTurn()
  group.link(0).silenceRequests()
  group.member(0).answerState = () => Promise.resolve('completed')
  const later = group.settle(ask(group, 'later'))
  await nextTurn()
  release()
  const { outcome, tookMs } = await later
  t.is((await earlier).extract(), 'running')
  t.is(outcome.extract(), 'completed', `after ${tookMs} ms`)
  t.true(tookMs < deadlineMs, `${tookMs} ms`)
})

test('a query is answered although the leader takes longer to confirm it than the timeout of a call', async (t) => {
  const group = await startGroup(t)
  group.member(0).answerState = async () => {
    await group.clock.sleep(timings.callTimeoutMs + 100)
    return 'completed'
  }
  const { outcome, tookMs } = await group.settle(ask(group, 'a'))
  t.is(outcome.extract(), 'completed', `after ${tookMs} ms`)
  t.true(tookMs < deadlineMs, `${tookMs} ms`)
})

test('a query on a silent connection does not wait for members that are down once the leader has answered', async (t) => {
  const group = await startGroup(t)
  group.link(0).silence()
  group.link(2).silence()
  group.link(2).isBlackholed = true
  const { outcome, tookMs } = await group.settle(ask(group, 'a'))
  t.is(outcome.extract(), 'completed')
  t.true(tookMs < 400, `${tookMs} ms`)
})

test('every query of a burst on a silent connection is answered', async (t) => {
  const group = await startGroup(t)
  group.link(0).silence()
  const burst = Promise.all(Array.from({ length: 150 }, (_, at) => ask(group, `job-${at}`)))
  const { outcome, tookMs } = await group.settle(burst)
  const answers = new Set(outcome.map((each) => each.extract()))
  t.deepEqual([...answers], ['completed'])
  t.true(tookMs < deadlineMs, `${tookMs} ms`)
})

test('a query on a connection whose first message is lost is answered', async (t) => {
  const group = await startGroup(t)
  group.link(0).silence()
  group.link(0).isBlackholed = true
  const early = group.settle(ask(group, 'a'))
  while (group.link(0).connectionsOpened < 2) await nextTurn()
  group.link(0).isBlackholed = false
  const { outcome, tookMs } = await early
  t.is(outcome.extract(), 'completed', `after ${tookMs} ms`)
  t.true(tookMs < deadlineMs, `${tookMs} ms`)
})

test('a query fails after the usual patience if no member leads, with a delay after which to retry', async (t) => {
  const group = await startGroup(t)
  group.member(0).answerState = () => Promise.reject(new NettlespurError('not-leader', 'no more'))
  for (const at of [0, 1, 2]) group.member(at).view = { term: 2, memberAddresses: [] }
  const { outcome, tookMs } = await group.settle(ask(group, 'a'))
  t.like(outcome.extract(), { kind: 'not-leader', retryAfterMs: 500 })
  t.true(tookMs >= timings.patienceMs && tookMs < timings.patienceMs + 200, `${tookMs} ms`)
})

test('a query fails after the usual patience if no member answers, with a delay after which to retry', async (t) => {
  const group = await startGroup(t)
  for (const at of [0, 1, 2]) {
    group.link(at).silence()
    group.link(at).isBlackholed = true
  }
  const { outcome, tookMs } = await group.settle(ask(group, 'a'))
  t.like(outcome.extract(), { kind: 'not-leader', retryAfterMs: 500 })
  t.true(tookMs < timings.patienceMs + 500, `${tookMs} ms`)
})

test('a leader too slow for the caller is asked at most four times, and the call ends in time to try another entry', async (t) => {
  const group = await startGroup(t)
  group.member(0).answerState = async () => {
    await group.clock.sleep(10 * deadlineMs)
    return 'completed'
  }
  const { outcome, tookMs } = await group.settle(ask(group, 'a'))
  t.like(outcome.extract(), { kind: 'outcome-unknown' })
  t.is(tookMs, deadlineMs - 500)
  t.true(group.member(0).asked.filter((jobId) => jobId === 'a').length <= 4)
})

test('a query whose caller has left is not retried', async (t) => {
  const group = await startGroup(t)
  const gone = new AbortController()
  group.member(0).answerState = () => {
    gone.abort()
    return Promise.reject(new NettlespurError('no-quorum', 'no majority'))
  }
  const call = { host: 'h', path: '/q/a', jobId: 'a' }
  const read = group.client.getJobState(call, { deadlineMs, gone: gone.signal }).run()
  t.like((await group.settle(read)).outcome.extract(), { kind: 'no-quorum' })
  t.is(group.member(0).asked.filter((jobId) => jobId === 'a').length, 1)
})

test('an error of the leader about the job is returned at once', async (t) => {
  const group = await startGroup(t)
  group.member(0).answerState = () => Promise.reject(new NettlespurError('unknown-job', 'none'))
  const { outcome, tookMs } = await group.settle(ask(group, 'a'))
  t.like(outcome.extract(), { kind: 'unknown-job' })
  t.is(tookMs, 0)
})

test('a submission on a silent connection is not sent twice, and its outcome is unknown', async (t) => {
  const group = await startGroup(t)
  for (const at of [0, 1, 2]) {
    group.link(at).silence()
    group.link(at).isBlackholed = true
  }
  const { outcome, tookMs } = await group.settle(submit(group, 'a'))
  t.like(outcome.extract(), { kind: 'outcome-unknown' })
  t.is(outcome.swap().unsafeCoerce().answer.ran, 'unknown')
  t.true(tookMs < timings.patienceMs + 500, `${tookMs} ms`)
  t.deepEqual(group.member(0).submitted, [])
})

function submit({ client }: MemberGroup, jobId: string) {
  const request = createJob(jobId, {})
  return client.submitJob({ host: 'h', path: `/q/${jobId}`, request }, { deadlineMs }).run()
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}
