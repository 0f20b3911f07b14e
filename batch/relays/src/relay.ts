/**
 * The part of a member that does not lead: it executes the leader's calls through its own port, and keeps the outcomes
 * until the leader takes them. It decides nothing and holds no state that matters.
 */
import { runFields, type RunRef } from '@nettlespur/batch.model'
import type { UpstreamPort } from '@nettlespur/batch.sessions'
import type { Clock } from '@nettlespur/core.clock'
import { toNettlespurError } from '@nettlespur/core.errors'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import { randomUUID } from 'node:crypto'
import { ExecutedCalls } from './executedCalls.js'
import { OutcomeQueue } from './outcomeQueue.js'
import type {
  AnswerRequest,
  CallOutcome,
  LeaderHeader,
  OrderBatch,
  RelayAnswers,
  RelayClockReading,
  RelayedCall,
  RelayReceipt,
} from './relayMessages.js'

/** A leader that uses relays sends five messages in this time; without any, it is taken for lost. */
const leaderHeardMsMax = 1000

export interface RelayOptions {
  clock: Clock
  metrics: MetricsRegistry
  port: UpstreamPort
}

export class Relay {
  /** Changes with each start of the process, as the monotonic clock and the executed calls begin anew. */
  readonly relayId = randomUUID()
  readonly #opts: RelayOptions
  readonly #executed = new ExecutedCalls()
  readonly #outcomes: OutcomeQueue
  #highestTerm = 0
  #servingAddresses: readonly string[] = []
  #leaderHeardAtMs = -Infinity

  constructor(opts: RelayOptions) {
    this.#opts = opts
    this.#outcomes = new OutcomeQueue(opts.clock)
  }

  /** Members that serve upstreams, according to a leader that uses relays; empty if none has sent a message lately. */
  get servingAddresses(): readonly string[] {
    const isHeard = this.#opts.clock.monotonicMs() - this.#leaderHeardAtMs <= leaderHeardMsMax
    return isHeard ? this.#servingAddresses : []
  }

  /** `knownTerm` is the highest term that this member has seen otherwise. */
  handleOrders(batch: OrderBatch, knownTerm: number): RelayReceipt {
    const acceptsTerm = this.#acceptLeader(batch, knownTerm)
    const isAccepted = acceptsTerm && batch.relayId === this.relayId
    const refusedCallIds: number[] = []
    for (const call of batch.calls) {
      const { callId, sendBy } = call
      if (this.#executed.has(batch.term, callId)) continue
      const leftMs = this.#computeLeftMs(sendBy)
      if (!isAccepted || leftMs <= 0) {
        refusedCallIds.push(callId)
        continue
      }
      const nowMs = this.#opts.clock.monotonicMs()
      this.#executed.add(batch.term, callId, sendBy.monotonicMs, nowMs)
      void this.#execute(call, Math.min(call.timeoutMs, leftMs), batch.term)
    }
    this.#count('relay_orders_refused_total', refusedCallIds.length)
    const outcomes = isAccepted ? this.#outcomes.takeReady() : []
    return { ...this.#createReceipt(acceptsTerm), refusedCallIds, outcomes }
  }

  async takeAnswers(request: AnswerRequest, knownTerm: number): Promise<RelayAnswers> {
    const acceptsTerm = this.#acceptLeader(request, knownTerm)
    const isMeant = acceptsTerm && request.relayId === this.relayId
    const outcomes = isMeant ? await this.#outcomes.take(request) : []
    return { ...this.#createReceipt(acceptsTerm), outcomes }
  }

  /** Returns false for a leader of an earlier term. */
  #acceptLeader({ term, servingAddresses }: LeaderHeader, knownTerm: number): boolean {
    if (term < Math.max(this.#highestTerm, knownTerm)) return false
    if (term > this.#highestTerm) this.#outcomes.clear()
    this.#highestTerm = term
    this.#servingAddresses = servingAddresses
    this.#leaderHeardAtMs = this.#opts.clock.monotonicMs()
    return true
  }

  async #execute(call: RelayedCall, timeoutMs: number, term: number): Promise<void> {
    this.#count('relay_orders_carried_total', 1)
    const outcome = await this.#send(call, timeoutMs).catch(toFailure)
    if (term === this.#highestTerm) this.#outcomes.add({ callId: call.callId, outcome })
  }

  async #send({ to, order }: RelayedCall, timeoutMs: number): Promise<CallOutcome> {
    const { port } = this.#opts
    const { type } = order
    switch (type) {
      case 'start':
        return { type, answer: await port.start(to, order, timeoutMs) }
      case 'stop':
        return { type, answer: await port.stop(to, order, timeoutMs) }
      case 'hold': {
        const answer = await port.hold(to, { leaseEndMs: undefined, ...order }, timeoutMs)
        if (answer.type !== 'held') return { type, answer }
        const running = answer.running.map(toRow)
        const finished = answer.finished.map(toRow)
        return { type, answer: { ...answer, running, finished } }
      }
    }
  }

  /** How long an order may still be sent; not positive if its time is over on either clock. */
  #computeLeftMs(sendBy: RelayClockReading): number {
    const { monotonicMs, wallMs } = this.#readClock()
    return Math.min(sendBy.monotonicMs - monotonicMs, sendBy.wallMs - wallMs)
  }

  #readClock(): RelayClockReading {
    const { clock } = this.#opts
    return { monotonicMs: clock.monotonicMs(), wallMs: clock.now().getTime() }
  }

  #createReceipt(acceptsTerm: boolean): Omit<RelayAnswers, 'outcomes'> {
    return { relayId: this.relayId, clock: this.#readClock(), acceptsTerm }
  }

  #count(name: string, by: number): void {
    if (by > 0) this.#opts.metrics.count(name, by)
  }
}

/** Leaves out what does not identify the run. */
function toRow<T extends { readonly run: RunRef }>(row: T): T {
  return { ...row, run: runFields(row.run) }
}

function toFailure(thrown: unknown): CallOutcome {
  const { kind, message } = toNettlespurError(thrown)
  return {
    type: 'failed',
    kind: kind === 'unreachable' ? kind : 'outcome-unknown',
    reason: message,
  }
}
