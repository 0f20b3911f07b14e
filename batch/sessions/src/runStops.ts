/** Stops runs on one upstream, and retries until the upstream has accepted the stop. */
import { runKey, type RunRef } from '@nettlespur/batch.model'
import type { Placement } from '@nettlespur/batch.state'
import type { Clock } from '@nettlespur/core.clock'
import type { LeaseTracker } from './leaseTracker.js'
import type { RunOrders } from './runOrders.js'
import type { RunTrack } from './runTrack.js'
import type { RunTracks } from './runTracks.js'
import type { SessionHost } from './sessionHost.js'
import { retryPauseMs } from './sessionOptions.js'
import type { StopAnswer } from './upstreamPort.js'

export interface RunStopsOptions {
  host: SessionHost
  orders: RunOrders
  tracks: RunTracks
  lease: LeaseTracker
  clock: Clock
  signal: AbortSignal
  /** The runs placed on the upstream, by run key. */
  listPlacements: () => ReadonlyMap<string, Placement>
  /** Whether the session has ended. */
  isOver: () => boolean
  /** Resolves once the answer has taken effect on the session. */
  handleAnswer: (answer: StopAnswer) => Promise<void>
}

export class RunStops {
  readonly #opts: RunStopsOptions

  constructor(opts: RunStopsOptions) {
    this.#opts = opts
  }

  /** Stops the run if the host says so. To be called whenever that may have changed. */
  stopIfNeeded(placement: Placement): void {
    const { tracks, host } = this.#opts
    const track = tracks.find(placement)
    const isDue = track?.isStopping === false && host.shouldStop(placement)
    if (isDue) void this.stopUntilAnswered(track)
  }

  stopAllIfNeeded(): void {
    for (const placement of this.#opts.listPlacements().values()) this.stopIfNeeded(placement)
  }

  /** Retries until a stop is answered; from then on the upstream refuses a delayed start order of this attempt. */
  async stopUntilAnswered(track: RunTrack): Promise<void> {
    if (track.isStopping) return
    track.isStopping = true
    const { clock, signal, isOver, listPlacements } = this.#opts
    while (!isOver() && listPlacements().has(runKey(track.placement))) {
      if (track.phase !== 'starting' && (await this.stop(track.placement))) {
        if (isOver()) return
        track.settledAtMs = clock.monotonicMs()
        track.phase = 'settled'
        return
      }
      await clock.sleep(retryPauseMs, signal)
    }
  }

  /**
   * Stops a run that is no longer placed. Retries until a stop is answered, or no order can start it any more: its start
   * may be under way, and nothing else may poll the upstream.
   */
  async stopRemoved(run: RunRef): Promise<void> {
    const { clock, signal, isOver, lease } = this.#opts
    while (!isOver() && !lease.hasExpired(clock.monotonicMs())) {
      if (await this.stop(run)) return
      await clock.sleep(retryPauseMs, signal)
    }
  }

  /** Sends one stop order. Resolves to true if the upstream accepted it. */
  async stop(run: RunRef): Promise<boolean> {
    const answer = await this.#opts.orders.stop(run)
    if (answer === undefined) return false
    await this.#opts.handleAnswer(answer)
    return answer.type === 'stopping'
  }
}
