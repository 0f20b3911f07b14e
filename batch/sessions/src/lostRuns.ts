/** The ends of runs that no list of their upstream shows as ended: one line of the log each, with what is known of it. */
import { runFields } from '@nettlespur/batch.model'
import type { Placement, RunEnd } from '@nettlespur/batch.state'
import type { LossCause } from './lossCause.js'
import type { RunTracks } from './runTracks.js'
import type { UpstreamSessionOptions } from './sessionOptions.js'

export interface LostRunsOptions extends Pick<
  UpstreamSessionOptions,
  'target' | 'clock' | 'logger'
> {
  tracks: RunTracks
}

export class LostRuns {
  readonly #opts: LostRunsOptions

  constructor(opts: LostRunsOptions) {
    this.#opts = opts
  }

  /** With the newest checkpoint seen of each. */
  listEnds(placements: Iterable<Placement>, cause: LossCause): RunEnd[] {
    return [...placements].map((placement) => {
      this.#log(placement, cause)
      const checkpoint = this.#opts.tracks.find(placement)?.checkpoint
      return { ...placement, outcome: 'lost', checkpoint }
    })
  }

  #log(placement: Placement, cause: LossCause): void {
    const { clock, logger, target, tracks } = this.#opts
    const track = tracks.find(placement)
    const sinceStartMs = track && Math.round(clock.monotonicMs() - track.startedAtMs)
    logger.info({
      event: 'run.lost',
      ...runFields(placement),
      upstreamId: target.upstreamId,
      cause,
      phase: track?.phase,
      sinceStartMs,
    })
  }
}
