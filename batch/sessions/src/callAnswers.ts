/** Tracks whether an upstream answers the leader's calls. All times are on the leader's monotonic clock. */
import { lateOrderMsMax } from './sessionOptions.js'

export class CallAnswers {
  /** Consecutive calls without an answer. */
  unanswered = 0
  /** When the last unanswered call was given up. */
  unansweredAtMs = -Infinity
  /** When a start order was last sent, by whomever, that may have got no answer. */
  startUnansweredAtMs = -Infinity
  /** Whether it has answered a poll with lists of its own, so that it is the process at its address. */
  hasListed = false
  /** When it last refused a start as `no-room` or `unhealthy`. */
  refusedAtMs = -Infinity
  /** When it first answered a call. */
  firstAnswerAtMs = -Infinity
  /** Resolves once the first call has been answered or given up. */
  readonly firstCallSettled: Promise<void>
  readonly #settleFirstCall: () => void

  constructor() {
    let resolveFirstCall = (): void => undefined
    this.firstCallSettled = new Promise((resolve) => {
      resolveFirstCall = resolve
    })
    this.#settleFirstCall = resolveFirstCall
  }

  /** Whether a start order that was given up may still be executed. */
  mayStartArrive(nowMs: number): boolean {
    return nowMs - this.startUnansweredAtMs < lateOrderMsMax
  }

  noteAnswered(nowMs: number): void {
    this.unanswered = 0
    if (this.firstAnswerAtMs === -Infinity) this.firstAnswerAtMs = nowMs
    this.#settleFirstCall()
  }

  noteUnanswered(nowMs: number): void {
    this.unanswered += 1
    this.unansweredAtMs = nowMs
    this.#settleFirstCall()
  }
}
