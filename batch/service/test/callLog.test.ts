/** What the log keeps of calls to the leader: enough to follow one job, in a bounded number of lines a second. */
import { ManualClock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import test from 'ava'
import { createRecorder } from '../__utils__/index.js'
import { CallLog } from '../src/callLog.js'
import { CallTrace } from '../src/callTrace.js'
import type { Operation } from '../src/operation.js'

const leader = '127.0.0.1:1'
const belief = { address: leader, ageMs: 9000, quietMs: 4000 }

function createOperation(subject: string, sort: Operation<null>['kind']): Operation<null> {
  const refuse = () => {
    throw new Error('not called here')
  }
  return { name: `call-${sort}`, subject, kind: sort, remote: refuse, local: refuse }
}

function createFixture() {
  const clock = new ManualClock()
  const recorder = createRecorder()
  const log = new CallLog({ clock, ...recorder })
  const note = async (
    subject: string,
    sort: Operation<null>['kind'],
    { tookMs = 20, wait = {}, error = undefined as NettlespurError | undefined } = {},
  ): Promise<void> => {
    const trace = new CallTrace(clock, wait)
    const endAttempt = trace.startAttempt(belief)
    await clock.advance(tookMs)
    endAttempt(error?.kind ?? 'done')
    log.record(createOperation(subject, sort), trace, leader, error)
  }
  return { clock, log, note, ...recorder }
}

test('reads that are answered in time share one summary line a second', async (t) => {
  const { clock, note, findEvents } = createFixture()
  await note('a', 'read')
  await note('b', 'read', { tookMs: 40 })
  t.deepEqual(findEvents('calls.answered'), [])
  await clock.advance(1000)
  t.deepEqual(findEvents('call.answered'), [])
  t.like(findEvents('calls.answered'), [
    { call: 'call-read', calls: 2, meanMs: 30, maxMs: 40, searched: 0, slow: 0 },
  ])
  t.deepEqual(findEvents('calls.answered')[0]?.subjects, ['a', 'b'])
  await clock.advance(5000)
  t.is(findEvents('calls.answered').length, 1)
})

test('the line of a slow read shows its attempts, how long its leader was known and the deadline of its caller', async (t) => {
  const { note, findEvents } = createFixture()
  await note('a', 'read', { tookMs: 720, wait: { deadlineMs: 3000 } })
  t.like(findEvents('call.answered')[0], {
    call: 'call-read',
    subject: 'a',
    outcome: 'done',
    tookMs: 720,
    deadlineMs: 3000,
    leaderAddress: leader,
    beliefAgeMs: 9000,
    leaderQuietMs: 4000,
    searches: 0,
    searchMs: 0,
    attempts: 1,
  })
  t.deepEqual(findEvents('call.answered')[0]?.attemptEnds, [`done@${leader}+720ms`])
})

test('a read whose caller left before the answer has its own line, however fast it was', async (t) => {
  const { note, findEvents, metrics } = createFixture()
  await note('a', 'read', { wait: { gone: AbortSignal.abort() } })
  t.like(findEvents('call.answered'), [{ subject: 'a', outcome: 'done', callerIsGone: true }])
  t.is(metrics.counterValue('calls_call_read_caller_gone_total'), 1)
})

test('each failed call and each change has its own line, and a repeated call that succeeds has none', async (t) => {
  const { clock, note, findEvents } = createFixture()
  const error = new NettlespurError('outcome-unknown', 'silent')
  await note('a', 'read', { error })
  await note('b', 'change')
  await note('c', 'repeated')
  await note('d', 'repeated', { error })
  await clock.advance(1000)
  const lines = findEvents('call.answered').map(({ subject, outcome }) => [subject, outcome])
  t.deepEqual(lines, [
    ['a', 'outcome-unknown'],
    ['b', 'done'],
    ['d', 'outcome-unknown'],
  ])
  t.deepEqual(findEvents('calls.answered'), [])
})

test('a burst of slow reads leaves a bounded number of lines, and the summary counts the rest', async (t) => {
  const { clock, log, findEvents } = createFixture()
  const traces = Array.from({ length: 200 }, () => new CallTrace(clock, {}))
  await clock.advance(500)
  for (const [at, trace] of traces.entries()) {
    log.record(createOperation(`job-${at}`, 'read'), trace, leader)
  }
  await clock.advance(1000)
  t.is(findEvents('call.answered').length, 20)
  t.like(findEvents('calls.answered'), [{ calls: 180, slow: 180, unnamed: 30 }])
  t.is((findEvents('calls.answered')[0]?.subjects as string[]).length, 150)
})

test('closing the log writes the pending summary', async (t) => {
  const { log, note, findEvents } = createFixture()
  await note('a', 'read')
  log.close()
  t.like(findEvents('calls.answered'), [{ calls: 1 }])
})

test('a search for the leader is counted, and its duration recorded', async (t) => {
  const clock = new ManualClock()
  const trace = new CallTrace(clock, {})
  const found = trace.trackSearch(() => clock.sleep(300))
  await clock.advance(300)
  await found
  t.like(trace.describe(), { tookMs: 300, searches: 1, searchMs: 300, attempts: 0 })
})

test('an attempt that has no outcome yet is shown as open', async (t) => {
  const clock = new ManualClock()
  const trace = new CallTrace(clock, {})
  trace.startAttempt(belief)
  await clock.advance(300)
  trace.startAttempt(belief)('done')
  t.deepEqual(trace.describe().attemptEnds, [`open@${leader}+300ms`, `done@${leader}+0ms`])
})
