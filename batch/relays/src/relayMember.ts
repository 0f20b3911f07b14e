/** The leader's view of one other member: whether it serves upstreams, the calls made through it, and its clocks. */
import type { UpstreamTarget } from '@nettlespur/batch.sessions'
import type { Clock } from '@nettlespur/core.clock'
import { toNettlespurError } from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import { splitBatches } from './splitBatches.js'
import { PendingCall } from './pendingCall.js'
import { RelayClock } from './relayClock.js'
import type { RelayLink } from './relayLink.js'
import {
  outcomesMax,
  type CallOutcome,
  type LeaderHeader,
  type RelayAnswers,
  type RelayedOrder,
  type RelayReceipt,
} from './relayMessages.js'

/** The answer to a request for outcomes waits this much longer than orders do: a receipt that comes first brings them. */
const receiptsFirstMs = 5
/** How long a relay without outcomes delays its answer: a third of the silence that takes it out. */
const answerWaitMs = 200
/** Pause before the next request for answers after one that failed. */
const retryPauseMs = 200
/** A relay without a message for this long is silent: three answers are missing. */
const silentMsMax = 700
/**
 * Checks without a message before a relay is silent. A leader that stood still itself makes one check before it has read
 * the messages that came meanwhile.
 */
const silentChecksMin = 3

export interface RelayMemberOptions {
  address: string
  clock: Clock
  logger: Logger
  metrics: MetricsRegistry
  link: RelayLink
  nextCallId: () => number
  /** How long an order waits for others that it can be sent with. */
  getBatchMs: () => number
  /** The header of a message to a relay. */
  createHeader: (relayId: string) => LeaderHeader
}

export class RelayMember {
  readonly #opts: RelayMemberOptions
  readonly #clock = new RelayClock()
  readonly #calls = new Map<number, PendingCall>()
  /** Confirmed calls whose deadline has passed, and whose outcomes may be waiting at the relay. */
  readonly #overdue = new Set<PendingCall>()
  #queue: PendingCall[] = []
  /** Empty until the member has answered. */
  #relayId = ''
  #isServing = false
  /** Whether it is asked for outcomes. */
  #isAsked = false
  #heardAtMs = -Infinity
  #checksSinceHeard = 0

  constructor(opts: RelayMemberOptions) {
    this.#opts = opts
  }

  get address(): string {
    return this.#opts.address
  }

  /** Whether upstreams may be assigned to it: it answers. */
  get isServing(): boolean {
    return this.#isServing
  }

  get pendingCalls(): number {
    return this.#calls.size
  }

  /** Errors: rejects with `unreachable` if nothing was sent to the upstream, otherwise with `outcome-unknown`. */
  call(to: UpstreamTarget, order: RelayedOrder, timeoutMs: number): Promise<CallOutcome> {
    const { clock, nextCallId } = this.#opts
    const callId = nextCallId()
    const onSettled = (): void => {
      this.#calls.delete(callId)
      this.#overdue.delete(call)
    }
    const onOverdue = (): void => {
      this.#handleOverdue(call)
    }
    const opts = { callId, to, order, timeoutMs, clock, onSettled, onOverdue }
    const call: PendingCall = new PendingCall(opts)
    this.#calls.set(callId, call)
    if (this.#queue.length === 0) {
      clock.setTimer(this.#opts.getBatchMs(), () => {
        this.#sendQueue()
      })
    }
    this.#queue.push(call)
    return call.outcome
  }

  /** Takes answers until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    this.#isAsked = true
    while (!signal.aborted) {
      const isAnswered = await this.#takeAnswers()
      if (!isAnswered) await this.#opts.clock.sleep(retryPauseMs, signal)
    }
    this.#isAsked = false
    this.#giveUpOverdue([...this.#overdue])
  }

  /** Takes the member out if it has been silent for too long. To be called at regular intervals. */
  checkSilence(): void {
    if (!this.#isServing) return
    this.#checksSinceHeard += 1
    const silentMs = this.#opts.clock.monotonicMs() - this.#heardAtMs
    if (silentMs >= silentMsMax && this.#checksSinceHeard >= silentChecksMin)
      this.takeOut(`silent for ${Math.round(silentMs)} ms`)
  }

  /** Gives up all calls. The member serves again once it answers. */
  takeOut(reason: string): void {
    const pendingCalls = this.#calls.size
    if (this.#isServing) {
      const { address } = this
      this.#opts.logger.warn({ event: 'relay.taken-out', address, reason, pendingCalls })
    }
    this.#isServing = false
    this.#giveUpCalls(`the relay ${this.address} was taken out: ${reason}`)
  }

  /** Rejects the calls that have not been sent to the relay. The others end with their own timeouts. */
  dropQueue(): void {
    for (const call of this.#queue.splice(0)) call.giveUp('this member leads no more')
  }

  async #takeAnswers(): Promise<boolean> {
    const { link, createHeader, getBatchMs } = this.#opts
    const batchMs = getBatchMs() + receiptsFirstMs
    const request = { ...createHeader(this.#relayId), waitMs: answerWaitMs, batchMs }
    const overdueBefore = [...this.#overdue]
    try {
      const answers = await link.takeAnswers(this.address, request)
      this.#noteOutcomes(answers)
      // More outcomes may be left after a full message.
      if (answers.outcomes.length < outcomesMax) this.#giveUpOverdue(overdueBefore)
      this.#noteMessage(answers)
      return answers.acceptsTerm
    } catch (thrown) {
      this.#noteFailure(thrown)
      return false
    }
  }

  /** Either side may have stood still: what came meanwhile is still to be asked for. */
  #handleOverdue(call: PendingCall): void {
    this.#overdue.add(call)
    if (!this.#isAsked) this.#giveUpOverdue([call])
  }

  #giveUpOverdue(calls: readonly PendingCall[]): void {
    for (const call of calls) {
      if (this.#overdue.has(call)) call.giveUp('the relay had no outcome after the deadline')
    }
  }

  #sendQueue(): void {
    const queued = this.#queue.splice(0)
    // A leader that stood still would send orders that the relay can only refuse.
    for (const call of queued) if (call.leftMs <= 0) call.giveUp('its time was over unsent')
    const waiting = queued.filter(({ callId }) => this.#calls.has(callId))
    for (const calls of splitBatches(waiting)) void this.#sendOrders(calls)
  }

  async #sendOrders(calls: readonly PendingCall[]): Promise<void> {
    const { link, clock, metrics, createHeader } = this.#opts
    const relayId = this.#relayId
    const nowMs = clock.monotonicMs()
    const relayedCalls = calls.map(({ callId, to, order, leftMs: timeoutMs }) => {
      const { upstreamId, announcedId, address } = to
      const sendBy = this.#clock.estimateMs(nowMs, timeoutMs)
      return { callId, to: { upstreamId, announcedId, address }, order, timeoutMs, sendBy }
    })
    for (const call of calls) call.mayHaveBeenSent = true
    metrics.count('relayed_calls_total', calls.length)
    try {
      const batch = { ...createHeader(relayId), calls: relayedCalls }
      const receipt = await link.sendOrders(this.address, batch)
      this.#handleRefusals(receipt, relayId)
      if (receipt.relayId === relayId) for (const call of calls) call.isConfirmed = true
      this.#noteOutcomes(receipt)
      this.#noteMessage(receipt)
    } catch (thrown) {
      const { kind, message } = toNettlespurError(thrown)
      if (kind === 'unreachable') for (const { callId } of calls) this.#refuse(callId, message)
      this.#noteFailure(thrown)
    }
  }

  /** Only the process that the batch was meant for knows that it has not executed a call. */
  #handleRefusals({ relayId, refusedCallIds }: RelayReceipt, meantId: string): void {
    if (relayId !== meantId) return
    for (const callId of refusedCallIds) this.#refuse(callId, 'the relay refused the order')
  }

  #refuse(callId: number, reason: string): void {
    this.#calls.get(callId)?.refuse(`${this.address}: ${reason}`)
  }

  #noteOutcomes({ outcomes }: RelayAnswers): void {
    for (const { callId, outcome } of outcomes) this.#calls.get(callId)?.settle(outcome)
  }

  #noteMessage({ relayId, clock, acceptsTerm }: Omit<RelayAnswers, 'outcomes'>): void {
    const nowMs = this.#opts.clock.monotonicMs()
    if (this.#relayId !== '' && this.#relayId !== relayId) this.takeOut('its process has changed')
    this.#relayId = relayId
    this.#clock.note(clock, nowMs)
    this.#heardAtMs = nowMs
    this.#checksSinceHeard = 0
    if (!acceptsTerm) this.takeOut('it knows a later term')
    if (this.#isServing || !acceptsTerm) return
    this.#isServing = true
    this.#opts.logger.info({ event: 'relay.taken-in', address: this.address })
  }

  /** Takes the member out at once if nothing listens at its address. Other failures count as silence. */
  #noteFailure(thrown: unknown): void {
    const { kind, message } = toNettlespurError(thrown)
    if (kind === 'unreachable') this.takeOut(message)
  }

  #giveUpCalls(reason: string): void {
    const { metrics } = this.#opts
    this.#queue = []
    if (this.#calls.size > 0) metrics.count('relay_calls_given_up_total', this.#calls.size)
    for (const call of [...this.#calls.values()]) call.giveUp(reason)
  }
}
