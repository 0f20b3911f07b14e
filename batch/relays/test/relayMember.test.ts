/**
 * When the leader takes a relay out: too early moves all its upstreams for nothing, too late holds them up. And when it gives
 * up a call: too early repeats a start that has been answered.
 */
import { toNettlespurError } from '@nettlespur/core.errors'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import test from 'ava'
import { SteppedClock } from '../__utils__/createRelay.js'
import { RelayLink } from '../src/index.js'
import { RelayMember } from '../src/relayMember.js'
import {
  outcomesMax,
  type AnswerRequest,
  type RelayAnswers,
  type RelayReceipt,
} from '../src/relayMessages.js'

type CallOutcomes = RelayAnswers['outcomes']

const timeoutMs = 500
const stoppedCall = {
  callId: 1,
  outcome: { type: 'stop' as const, answer: { type: 'stopping' as const } },
}

/** Confirms all orders at once, and answers each request after its wait with the outcomes that are there. */
class AnsweringLink extends RelayLink {
  isSilent = false
  orderBatches = 0
  /** The outcomes of the next answers, one list for each. */
  readonly answers: CallOutcomes[] = []
  readonly #clock: SteppedClock

  constructor(clock: SteppedClock) {
    super()
    this.#clock = clock
  }

  override sendOrders(): Promise<RelayReceipt> {
    this.orderBatches += 1
    return Promise.resolve({ ...this.#createAnswers([]), refusedCallIds: [] })
  }

  override async takeAnswers(_address: string, request: AnswerRequest): Promise<RelayAnswers> {
    await this.#clock.sleep(this.isSilent ? 1e9 : request.waitMs)
    return this.#createAnswers(this.answers.shift() ?? [])
  }

  #createAnswers(outcomes: CallOutcomes): RelayAnswers {
    const clock = { monotonicMs: 0, wallMs: 0 }
    return { relayId: 'relay', clock, acceptsTerm: true, outcomes }
  }
}

async function startMember() {
  const clock = new SteppedClock()
  const link = new AnsweringLink(clock)
  const ignore = (): void => undefined
  const member = new RelayMember({
    address: '127.0.0.1:7002',
    clock,
    logger: { debug: ignore, info: ignore, warn: ignore, error: ignore },
    metrics: new MetricsRegistry(),
    link,
    nextCallId: () => 1,
    getBatchMs: () => 10,
    createHeader: (relayId) => ({ term: 1, relayId, servingAddresses: [] }),
  })
  const leaving = new AbortController()
  void member.run(leaving.signal)
  await clock.base.advance(250)
  /** Makes a call whose deadline passes at 750 ms, between the answers at 600 and 800 ms. */
  const makeCall = (): { result: string | undefined } => {
    const call: { result: string | undefined } = { result: undefined }
    const run = { jobId: 'job', step: 0, index: 0, attempt: 1 }
    const order = { type: 'stop' as const, run, fence: 1 }
    member.call({ upstreamId: 'u', address: '127.0.0.1:9000' }, order, timeoutMs).then(
      ({ type }) => {
        call.result = type
      },
      (thrown: unknown) => {
        call.result = toNettlespurError(thrown).kind
      },
    )
    return call
  }
  return { clock, link, member, leaving, makeCall }
}

test('a relay is silent after 700 ms and three checks without a message', async (t) => {
  const { clock, link, member } = await startMember()
  t.true(member.isServing)
  link.isSilent = true
  await clock.base.advance(600)
  member.checkSilence()
  member.checkSilence()
  member.checkSilence()
  t.true(member.isServing)
  await clock.base.advance(400)
  member.checkSilence()
  t.false(member.isServing)
})

test('a leader that stood still itself takes no relay out at its first check afterwards', async (t) => {
  const { clock, member } = await startMember()
  clock.suspendedMs = -5000
  member.checkSilence()
  t.true(member.isServing)
  await clock.base.advance(250)
  member.checkSilence()
  member.checkSilence()
  t.true(member.isServing, 'the relay has answered meanwhile')
})

test('a call that the relay has confirmed is not given up while its outcome may be waiting there', async (t) => {
  const { clock, link, makeCall } = await startMember()
  const call = makeCall()
  link.answers.push([], [], [stoppedCall])
  await clock.base.advance(timeoutMs + 20)
  t.is(call.result, undefined)
  await clock.base.advance(50)
  t.is(call.result, 'stop')
})

test('a call that the relay has confirmed is given up at the first answer to a request that came after its deadline', async (t) => {
  const { clock, makeCall } = await startMember()
  const call = makeCall()
  await clock.base.advance(700)
  t.is(call.result, undefined)
  await clock.base.advance(100)
  t.is(call.result, 'outcome-unknown')
})

test('a call past its deadline is not given up at a full answer, after which its outcome may be left', async (t) => {
  const { clock, link, makeCall } = await startMember()
  const call = makeCall()
  const others = Array.from({ length: outcomesMax }, (_, at) => ({
    ...stoppedCall,
    callId: at + 2,
  }))
  link.answers.push([], [], [], others, [stoppedCall])
  await clock.base.advance(800)
  t.is(call.result, undefined)
  await clock.base.advance(200)
  t.is(call.result, 'stop')
})

test('a call past its deadline ends with its relay', async (t) => {
  const { clock, link, member, makeCall } = await startMember()
  const call = makeCall()
  link.isSilent = true
  await clock.base.advance(1500)
  t.is(call.result, undefined)
  for (let checks = 0; checks < 3; checks++) member.checkSilence()
  await clock.base.advance(1)
  t.false(member.isServing)
  t.is(call.result, 'outcome-unknown')
})

test('a call whose deadline passes after the relay is asked no more ends at its deadline', async (t) => {
  const { clock, leaving, makeCall } = await startMember()
  const call = makeCall()
  leaving.abort()
  await clock.base.advance(timeoutMs - 1)
  t.is(call.result, undefined)
  await clock.base.advance(20)
  t.is(call.result, 'outcome-unknown')
})

test('an order that a leader which stood still has not sent in its time is not sent any more, and counts as never sent', async (t) => {
  const { clock, link, makeCall } = await startMember()
  const call = makeCall()
  clock.suspendedMs = -2 * timeoutMs
  await clock.base.advance(20)
  t.is(link.orderBatches, 0)
  t.is(call.result, 'unreachable')
})
