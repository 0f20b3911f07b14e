/** One call that the leader makes through a relay, from its order to its outcome or deadline. */
import type { UpstreamTarget } from '@nettlespur/batch.sessions'
import { setDeadline, type Clock, type Timer } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import type { CallOutcome, RelayedOrder } from './relayMessages.js'

export interface PendingCallOptions {
  callId: number
  to: UpstreamTarget
  order: RelayedOrder
  timeoutMs: number
  clock: Clock
  /** Called when the call has its outcome or is given up. */
  onSettled: () => void
  /** Called in place of `giveUp` when the deadline passes of an order that the relay has confirmed. */
  onOverdue: (call: PendingCall) => void
}

export class PendingCall {
  readonly callId: number
  readonly to: UpstreamTarget
  readonly order: RelayedOrder
  readonly outcome: Promise<CallOutcome>
  /** Whether the order may have reached the relay. */
  mayHaveBeenSent = false
  /** Whether the relay has confirmed that it executes the order: it will have an outcome by the deadline. */
  isConfirmed = false
  readonly #opts: PendingCallOptions
  readonly #deadlineMs: number
  readonly #timer: Timer
  readonly #resolve: (outcome: CallOutcome) => void
  readonly #reject: (error: NettlespurError) => void

  constructor(opts: PendingCallOptions) {
    this.#opts = opts
    this.callId = opts.callId
    this.to = opts.to
    this.order = opts.order
    const { clock, timeoutMs } = opts
    this.#deadlineMs = clock.monotonicMs() + timeoutMs
    let resolveOutcome: (outcome: CallOutcome) => void = () => undefined
    let rejectOutcome: (error: NettlespurError) => void = () => undefined
    this.outcome = new Promise((resolve, reject) => {
      resolveOutcome = resolve
      rejectOutcome = reject
    })
    this.#resolve = resolveOutcome
    this.#reject = rejectOutcome
    this.#timer = setDeadline(clock, timeoutMs, () => {
      if (this.isConfirmed) opts.onOverdue(this)
      else this.giveUp(`no answer within ${timeoutMs} ms`)
    })
  }

  /** Time until the deadline. */
  get leftMs(): number {
    return this.#deadlineMs - this.#opts.clock.monotonicMs()
  }

  /** Settles the call. An outcome of another type than the order's says nothing about it, and rejects it as unknown. */
  settle(outcome: CallOutcome): void {
    if (outcome.type === 'failed') this.#fail(outcome.kind, outcome.reason)
    else if (outcome.type !== this.order.type)
      this.#fail('outcome-unknown', `the relay answered a ${this.order.type} as ${outcome.type}`)
    else {
      this.#end()
      this.#resolve(outcome)
    }
  }

  /** Rejects as `unreachable` if the order has certainly not reached the relay, otherwise as `outcome-unknown`. */
  giveUp(reason: string): void {
    this.#fail(this.mayHaveBeenSent ? 'outcome-unknown' : 'unreachable', reason)
  }

  /** Rejects as `unreachable`: the relay has not sent the order to the upstream and will not send it. */
  refuse(reason: string): void {
    this.#fail('unreachable', reason)
  }

  #fail(kind: 'unreachable' | 'outcome-unknown', reason: string): void {
    this.#end()
    this.#reject(new NettlespurError(kind, reason))
  }

  #end(): void {
    this.#timer.cancel()
    this.#opts.onSettled()
  }
}
