/** Ends all runs placed on an upstream whose process is gone, and then the session. May be called repeatedly. */
import type { LeaseTracker } from './leaseTracker.js'
import type { LossCause } from './lossCause.js'
import { retryPauseMs, type UpstreamSessionOptions } from './sessionOptions.js'

/** Why the upstream's process is gone. */
export type EndingCause = Extract<LossCause, 'crashed' | 'left'>

const reasons: Readonly<Record<EndingCause, string>> = {
  crashed: 'another process answers at its address',
  left: 'it has left',
}

export interface UpstreamEndingOptions extends Pick<
  UpstreamSessionOptions,
  'target' | 'host' | 'clock' | 'logger' | 'signal'
> {
  /** Commits the ends of all runs placed there. Resolves to false if that failed. */
  commitLost: (cause: LossCause) => Promise<boolean>
}

export class UpstreamEnding {
  /** Whether all runs have ended and the host has been told, so that the session is over. */
  isOver = false
  /** Runs given up since the upstream last answered, of which it may still report that they were done. */
  givenUpRuns = 0
  readonly #opts: UpstreamEndingOptions
  #ending: Promise<void> | undefined

  constructor(opts: UpstreamEndingOptions) {
    this.#opts = opts
  }

  /** Ends the runs and the session. Concurrent calls, as from several answers at once, share one execution. */
  end(cause: EndingCause): Promise<void> {
    this.#ending ??= this.#endAll(cause).finally(() => {
      this.#ending = undefined
    })
    return this.#ending
  }

  /** Ends all runs placed there if the lease has expired. The session continues, as the upstream may answer again. */
  giveUpAfterLease(lease: LeaseTracker, cause: LossCause): void {
    const { clock, signal, host, logger, target, commitLost } = this.#opts
    if (!lease.hasExpired(clock.monotonicMs()) || this.isOver || signal.aborted) return
    const { upstreamId } = target
    const runs = host.listPlacements(upstreamId).size
    if (runs === 0) return
    logger.info({ event: 'upstream.lease-over', upstreamId, cause, runs })
    this.givenUpRuns += runs
    void commitLost(cause)
  }

  /**
   * Repeats until nothing is placed there: a run may be placed while ends are being committed, and its start order may
   * be answered only after `isOver` is set. Nothing else reports its end, so its job would count as running for the
   * rest of this leader's term.
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
