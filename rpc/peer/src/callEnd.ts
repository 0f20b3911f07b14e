/** The end of one call's wait: its deadline, or that its answer is wanted no more. */
import { setDeadline, type Clock, type Timer } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'

export interface CallEndOptions {
  clock: Clock
  address: string
  timeoutMs: number
  unwanted?: AbortSignal | undefined
  /** Told at the deadline, before the call is. */
  onDeadline: () => void
}

export class CallEnd {
  /** From then on the peer may have taken the call. */
  mayHaveLeft = false
  /** Rejects at the end with `unreachable` where nothing can have left, else `outcome-unknown`. */
  readonly reached: Promise<never>
  readonly #opts: CallEndOptions
  readonly #timer: Timer
  #reject: ((error: NettlespurError) => void) | undefined

  constructor(opts: CallEndOptions) {
    this.#opts = opts
    this.reached = new Promise<never>((_, reject) => {
      this.#reject = reject
    })
    // Nobody may be waiting for it any more.
    this.reached.catch(() => undefined)
    this.#timer = setDeadline(opts.clock, opts.timeoutMs, () => {
      opts.onDeadline()
      this.#refuse(`no whole answer within ${opts.timeoutMs} ms`)
    })
    if (opts.unwanted?.aborted === true) this.#leave()
    opts.unwanted?.addEventListener('abort', this.#leave, { once: true })
  }

  cancel(): void {
    this.#timer.cancel()
    this.#opts.unwanted?.removeEventListener('abort', this.#leave)
  }

  readonly #leave = (): void => {
    this.#refuse('the answer is wanted no more')
  }

  #refuse(reason: string): void {
    const kind = this.mayHaveLeft ? 'outcome-unknown' : 'unreachable'
    this.#reject?.(new NettlespurError(kind, `${this.#opts.address}: ${reason}`))
  }
}
