/**
 * What users saw: at the end of a day one accepted job's state could not be had in time, though a leader was
 * there and answered others. Entries are idle for seconds before jobs are asked for, so they ask over
 * connections that may have gone silent unnoticed, by what they believed of the leader then.
 *
 * Order of events: a query is sent on a silent connection; nothing comes for 700 ms; the leader is searched
 * for, for up to 300 ms, over connections just as silent; the patience of 1,000 ms is over, and the caller,
 * who gave 3,000 ms, is told 504.
 *
 * Cause: a read in doubt ended the call like a change in doubt, although a read can be asked again.
 */
import { createJob } from '@nettlespur/batch.samples'
import { NettlespurError } from '@nettlespur/core.errors'
import test, { type ExecutionContext } from 'ava'
import { MemberGroup } from '../__utils__/index.js'

/** As the platform's processes have them. */
const timings = { callTimeoutMs: 700, patienceMs: 1000 }
/** What callers give a query. */
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

test('a query is answered although its connection carries only answers to earlier ones', async (t) => {
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

test('a query is answered by a leader that takes longer to confirm it than a call may take', async (t) => {
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

test('of a burst on a silent connection every query is answered', async (t) => {
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

test('where no member leads a query is told so after the usual patience, with when to come back', async (t) => {
  const group = await startGroup(t)
  group.member(0).answerState = () => Promise.reject(new NettlespurError('not-leader', 'no more'))
  for (const at of [0, 1, 2]) group.member(at).view = { term: 2, memberAddresses: [] }
  const { outcome, tookMs } = await group.settle(ask(group, 'a'))
  t.like(outcome.extract(), { kind: 'not-leader', retryAfterMs: 500 })
  t.true(tookMs >= timings.patienceMs && tookMs < timings.patienceMs + 200, `${tookMs} ms`)
})

test('an entry that reaches no member tells so after the usual patience, with when to come back', async (t) => {
  const group = await startGroup(t)
  for (const at of [0, 1, 2]) {
    group.link(at).silence()
    group.link(at).isBlackholed = true
  }
  const { outcome, tookMs } = await group.settle(ask(group, 'a'))
  t.like(outcome.extract(), { kind: 'not-leader', retryAfterMs: 500 })
  t.true(tookMs < timings.patienceMs + 500, `${tookMs} ms`)
})

test('a leader too slow for the caller is asked at most four times, and the caller keeps time for another entry', async (t) => {
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

test('a query whose caller has left is not asked again', async (t) => {
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

test('what the leader says of a job is told at once', async (t) => {
  const group = await startGroup(t)
  group.member(0).answerState = () => Promise.reject(new NettlespurError('unknown-job', 'none'))
  const { outcome, tookMs } = await group.settle(ask(group, 'a'))
  t.like(outcome.extract(), { kind: 'unknown-job' })
  t.is(tookMs, 0)
})

test('a submission on a silent connection is not under way twice, and ends in doubt', async (t) => {
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
