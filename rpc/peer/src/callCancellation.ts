/** The end of one call's wait: its deadline, or that its answer is wanted no more. */
import { setDeadline, type Clock, type Timer } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'

export interface CallCancellationOptions {
  clock: Clock
  address: string
  timeoutMs: number
  signal?: AbortSignal | undefined
  /** Told at the deadline, before the call is. */
  onDeadline: () => void
}

export class CallCancellation {
  /** From then on the peer may have taken the call. */
  mayHaveBeenSent = false
  /** Rejects at the end with `unreachable` where nothing can have left, else `outcome-unknown`. */
  readonly cancelled: Promise<never>
  readonly #opts: CallCancellationOptions
  readonly #timer: Timer
  #reject: ((error: NettlespurError) => void) | undefined

  constructor(opts: CallCancellationOptions) {
    this.#opts = opts
    this.cancelled = new Promise<never>((_, reject) => {
      this.#reject = reject
    })
    // Nobody may be waiting for it any more.
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
    this.#fail('the answer is wanted no more')
  }

  #fail(reason: string): void {
    const kind = this.mayHaveBeenSent ? 'outcome-unknown' : 'unreachable'
    this.#reject?.(new NettlespurError(kind, `${this.#opts.address}: ${reason}`))
  }
}
