/** Ends all that is placed on an upstream whose life is over, and then the session, however often it is told. */
import type { LeaseTracker } from './leaseTracker.js'
import type { LossCause } from './lossCause.js'
import { retryPauseMs, type UpstreamSessionOptions } from './sessionOptions.js'

/** How the life of an upstream ends. */
export type EndingCause = Extract<LossCause, 'crashed' | 'left'>

const reasons: Readonly<Record<EndingCause, string>> = {
  crashed: 'another life of it answers',
  left: 'it has left',
}

export interface UpstreamEndingOptions extends Pick<
  UpstreamSessionOptions,
  'target' | 'host' | 'clock' | 'logger' | 'signal'
> {
  /** Commits the ends of all that is placed there; false where that failed. */
  commitLost: (cause: LossCause) => Promise<boolean>
}

export class UpstreamEnding {
  /** Nothing is placed there any more, and the host knows. */
  isOver = false
  readonly #opts: UpstreamEndingOptions
  #ending: Promise<void> | undefined

  constructor(opts: UpstreamEndingOptions) {
    this.#opts = opts
  }

  /** Several calls may be told at a time. */
  end(cause: EndingCause): Promise<void> {
    this.#ending ??= this.#endAll(cause).finally(() => {
      this.#ending = undefined
    })
    return this.#ending
  }

  /** Ends what runs there once nothing can run any more; the upstream may still answer later. */
  giveUpAfterLease(lease: LeaseTracker, cause: LossCause): void {
    const { clock, signal, host, logger, target, commitLost } = this.#opts
    if (this.isOver || signal.aborted || !lease.hasExpired(clock.monotonicMs())) return
    const { upstreamId } = target
    const runs = host.listPlacements(upstreamId).size
    logger.info({ event: 'upstream.lease-over', upstreamId, cause, runs })
    void commitLost(cause)
  }

  /**
   * What is placed there while ends are being committed is told of by nobody else, also where the answer to its
   * start comes only later: else its job would be running for as long as this leader leads, and none of it anywhere.
   */
  async #endAll(cause: EndingCause): Promise<void> {
    const { clock, signal, host, logger, target, commitLost } = this.#opts
    const { upstreamId } = target
    const countPlaced = (): number => host.listPlacements(upstreamId).size
    if (!this.isOver || countPlaced() > 0) {
      const reason = reasons[cause]
      logger.info({ event: 'upstream.gone', upstreamId, reason, runs: countPlaced() })
    }
    while (!signal.aborted && countPlaced() > 0) {
      const isCommitted = await commitLost(cause)
      if (!isCommitted || countPlaced() > 0) await clock.sleep(retryPauseMs, signal)
    }
    if (this.isOver || signal.aborted) return
    this.isOver = true
    host.noteGone(upstreamId)
  }
}
