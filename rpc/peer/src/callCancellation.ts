/** Ends the wait for the answer to one call, at its deadline or when the caller aborts it. */
import { setDeadline, type Clock, type Timer } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'

export interface CallCancellationOptions {
  clock: Clock
  address: string
  timeoutMs: number
  signal?: AbortSignal | undefined
  /** Called when the deadline passes, before `cancelled` rejects. */
  onDeadline: () => void
}

export class CallCancellation {
  /** Set once the connection is open: from then on the peer may have received the call. */
  mayHaveBeenSent = false
  /**
   * Rejects at the deadline or on abort: with `unreachable` if the call cannot have been sent, otherwise with
   * `outcome-unknown`. Never resolves.
   */
  readonly cancelled: Promise<never>
  readonly #opts: CallCancellationOptions
  readonly #timer: Timer
  #reject: ((error: NettlespurError) => void) | undefined

  constructor(opts: CallCancellationOptions) {
    this.#opts = opts
    this.cancelled = new Promise<never>((_, reject) => {
      this.#reject = reject
    })
    // Prevents an unhandled rejection when the call has settled and nothing awaits this promise.
    this.cancelled.catch(() => undefined)
    this.#timer = setDeadline(opts.clock, opts.timeoutMs, () => {
      opts.onDeadline()
      this.#fail(`no whole answer within ${opts.timeoutMs} ms`)
    })
    if (opts.signal?.aborted === true) this.#abort()
    opts.signal?.addEventListener('abort', this.#abort, { once: true })
  }

  dispose(): void {
    this.#timer.cancel()
    this.#opts.signal?.removeEventListener('abort', this.#abort)
  }

  readonly #abort = (): void => {
    this.#fail('the caller aborted the call')
  }

  #fail(reason: string): void {
    const kind = this.mayHaveBeenSent ? 'outcome-unknown' : 'unreachable'
    this.#reject?.(new NettlespurError(kind, `${this.#opts.address}: ${reason}`))
  }
}
