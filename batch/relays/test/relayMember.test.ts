/** When the leader takes a relay out: too early moves all its upstreams for nothing, too late holds them up. */
import { MetricsRegistry } from '@nettlespur/core.metrics'
import test from 'ava'
import { SteppedClock } from '../__utils__/createRelay.js'
import { RelayLink } from '../src/index.js'
import { RelayMember } from '../src/relayMember.js'
import type { AnswerRequest, RelayAnswers, RelayReceipt } from '../src/relayMessages.js'

class AnsweringLink extends RelayLink {
  isSilent = false
  readonly #clock: SteppedClock

  constructor(clock: SteppedClock) {
    super()
    this.#clock = clock
  }

  override sendOrders(): Promise<RelayReceipt> {
    return Promise.reject(new Error('no orders are expected'))
  }

  override async takeAnswers(_address: string, request: AnswerRequest): Promise<RelayAnswers> {
    await this.#clock.sleep(this.isSilent ? 1e9 : request.waitMs)
    const clock = { monotonicMs: 0, wallMs: 0 }
    return { relayId: 'relay', clock, acceptsTerm: true, outcomes: [] }
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
  void member.run(new AbortController().signal)
  await clock.base.advance(250)
  return { clock, link, member }
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
