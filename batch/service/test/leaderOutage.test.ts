/**
 * Guards against repeated searches while no member leads, such as with two of five members cut off and a third without
 * its disk. The followers of a leader that has stepped down still name it. An entry that believes them calls it again
 * and again, asks all members anew after each refusal, and keeps its callers waiting for their whole patience.
 */
import { createJob } from '@nettlespur/batch.samples'
import { NettlespurError } from '@nettlespur/core.errors'
import test, { type ExecutionContext } from 'ava'
import { startWatchedGroup, type MemberGroup } from '../__utils__/index.js'

const patienceMs = 1000
/** An outage that has lasted this long is longer than an election. */
const electionsMs = 2000
const deadlineMs = 3000
const callEveryMs = 250
const all = [0, 1, 2, 3, 4]
/** Log lines that one entry may write about its leader in an outage of 6 s. */
const maxLogLines = 20
/** Searches that one entry may run in that time; each asks every member once. */
const maxSearches = 45
/** While no call waits, the search whose result refuses new calls is at most this old: a pause and a search. */
const maxRefusalAgeMs = 300
/** A call that is refused without a new search takes no longer than this. */
const immediateMs = 50

interface CallResult {
  readonly calledAtMs: number
  readonly tookMs: number
  readonly kind: string
  readonly retryAfterMs: number
}

/** Member 0 no longer claims to lead and refuses calls; the others go on naming it as the leader. */
function stepDown(group: MemberGroup): void {
  group.member(0).answer = () => Promise.reject(new NettlespurError('not-leader', 'stepped down'))
  group.member(0).view = { ...group.member(0).view, leaderAddress: undefined }
}

async function submit({ client, clock }: MemberGroup, calledAtMs: number): Promise<CallResult> {
  const startMs = clock.monotonicMs()
  const jobId = `j${calledAtMs}`
  const call = { host: 'h', path: `/q/${jobId}`, request: createJob(jobId, {}) }
  const outcome = await client.submitJob(call, { deadlineMs }).run()
  const error = outcome.extract()
  const tookMs = clock.monotonicMs() - startMs
  return { calledAtMs, tookMs, kind: error?.kind ?? 'done', retryAfterMs: error?.retryAfterMs ?? 0 }
}

/** Submits jobs at a fixed interval during an outage and for one second after it. */
async function simulateOutage(t: ExecutionContext, lastsMs: number) {
  const group = await startWatchedGroup(t, all.length)
  const locateCallsBefore = group.member(0).locateCalls
  stepDown(group)
  const calls: Promise<CallResult>[] = []
  let locateCalls = 0
  for (let calledAtMs = 0; calledAtMs < lastsMs + 1000; calledAtMs += callEveryMs) {
    if (calledAtMs === lastsMs) {
      locateCalls = group.member(0).locateCalls - locateCallsBefore
      group.nameLeader(1, 2, all)
    }
    calls.push(submit(group, calledAtMs))
    await group.settle(group.clock.sleep(callEveryMs))
  }
  const { outcome: results } = await group.settle(Promise.all(calls))
  const { findEvents } = group.recorder
  const lines = ['leader.lost', 'leader.missing', 'leader.believed'].flatMap(findEvents)
  return { results, lines, locateCalls }
}

test('in a long outage an entry bounds its searches and log lines, and refuses calls at once', async (t) => {
  const lastsMs = 6000
  const { results, lines, locateCalls } = await simulateOutage(t, lastsMs)
  t.true(lines.length <= maxLogLines, `${lines.length} lines`)
  t.true(locateCalls <= maxSearches, `${locateCalls} searches`)
  for (const { calledAtMs, tookMs, kind, retryAfterMs } of results) {
    const what = `called at ${calledAtMs}, ${kind} after ${tookMs} ms, retry after ${retryAfterMs}`
    t.true(tookMs <= patienceMs + immediateMs, what)
    t.true(kind === 'done' || (kind === 'not-leader' && retryAfterMs > 0), what)
    const isKnown = calledAtMs > electionsMs && calledAtMs < lastsMs
    if (isKnown) t.true(tookMs <= immediateMs, what)
    if (calledAtMs > lastsMs + maxRefusalAgeMs) t.is(kind, 'done', what)
  }
})

test('in a long outage the retry delay given to callers grows, and differs between them', async (t) => {
  const { results } = await simulateOutage(t, 6000)
  const refused = results.filter(({ kind }) => kind === 'not-leader')
  const early = refused.filter(({ calledAtMs }) => calledAtMs < 1000)
  const late = refused.filter(({ calledAtMs }) => calledAtMs > 4500 && calledAtMs < 5500)
  t.true(early.every(({ retryAfterMs }) => retryAfterMs === 500))
  t.true(late.every(({ retryAfterMs }) => retryAfterMs > 1500))
  t.true(new Set(late.map(({ retryAfterMs }) => retryAfterMs)).size > 1)
})

for (const lastsMs of [250, 750]) {
  test(`every call in an outage of ${lastsMs} ms waits for the next leader and succeeds`, async (t) => {
    const { results } = await simulateOutage(t, lastsMs)
    t.deepEqual([...new Set(results.map(({ kind }) => kind))], ['done'])
  })
}

test('a leader that stops answering is not believed again because other members still name it', async (t) => {
  const group = await startWatchedGroup(t, all.length)
  group.link(0).silence()
  group.link(0).isBlackholed = true
  const call = { host: 'h', path: '/q/a', jobId: 'a' }
  const read = group.client.getJobState(call, { deadlineMs }).run()
  await group.settle(group.clock.sleep(700))
  t.is(group.client.leaderAddress, undefined)
  group.nameLeader(1, 2, [1, 2, 3, 4])
  const { outcome, tookMs } = await group.settle(read)
  t.is(outcome.extract(), 'completed')
  t.true(tookMs <= 250, `${tookMs} ms after the election`)
  t.is(group.client.leaderAddress, group.link(1).address)
})

test('a leader that was killed is not believed again because other members still name it', async (t) => {
  const group = await startWatchedGroup(t, all.length)
  group.link(0).refuse()
  const calls = [0, 1, 2, 3].map(async (at) => {
    await group.clock.sleep(at * 50)
    return submit(group, at)
  })
  await group.settle(group.clock.sleep(700))
  const lost = group.recorder.findEvents('leader.lost').length
  t.true(lost <= 2, `${lost} times`)
  group.nameLeader(1, 2, [1, 2, 3, 4])
  const { outcome: results } = await group.settle(Promise.all(calls))
  t.deepEqual([...new Set(results.map(({ kind }) => kind))], ['done'])
})
