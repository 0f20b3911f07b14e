/** Whether an upstream answers our calls. */
export class CallAnswers {
  /** Calls in a row that got no answer. */
  unanswered = 0
  /** When the last call without an answer was given up, on our clock. */
  unansweredAtMs = -Infinity
  /** When it last refused a start for want of room or health, on our clock. */
  refusedAtMs = -Infinity
  /** When it first answered, on our clock. */
  firstAnswerAtMs = -Infinity
  /** Resolves once the first call was answered or given up. */
  readonly firstCallSettled: Promise<void>
  readonly #settleFirstCall: () => void

  constructor() {
    let resolveFirstCall = (): void => undefined
    this.firstCallSettled = new Promise((resolve) => {
      resolveFirstCall = resolve
    })
    this.#settleFirstCall = resolveFirstCall
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
