/** Starts placed runs on one upstream, and records what the answers say of each run. */
import type { Placement, RunEnd } from '@nettlespur/batch.state'
import type { Clock } from '@nettlespur/core.clock'
import type { CallAnswers } from './callAnswers.js'
import type { LeaseTracker } from './leaseTracker.js'
import type { LostRuns } from './lostRuns.js'
import type { RunOrders, StartResult } from './runOrders.js'
import type { RunStops } from './runStops.js'
import type { RunTrack } from './runTrack.js'
import type { RunTracks } from './runTracks.js'
import type { SessionHost } from './sessionHost.js'

export interface RunStartsOptions {
  host: SessionHost
  orders: RunOrders
  stops: RunStops
  tracks: RunTracks
  lostRuns: LostRuns
  answers: CallAnswers
  lease: LeaseTracker
  clock: Clock
  /** Whether the runs were passed on to the session with a later process. */
  isReplaced: () => boolean
  /** Resolves to false if the ends were not committed. */
  commitEnds: (ends: readonly RunEnd[]) => Promise<boolean>
  /** Ends the session, as another process without a session has answered. */
  endCrashed: () => Promise<void>
}

export class RunStarts {
  readonly #opts: RunStartsOptions

  constructor(opts: RunStartsOptions) {
    this.#opts = opts
  }

  /** Sends the start order of a run whose placement is committed. */
  async start(placement: Placement): Promise<void> {
    const { tracks, orders, isReplaced } = this.#opts
    const track = tracks.follow(placement, 'starting')
    const result = await orders.start(placement)
    // The lists of the later process show what came of the order.
    if (!isReplaced()) await this.#handleResult(track, result)
  }

  async #handleResult(track: RunTrack, result: StartResult): Promise<void> {
    const { host, stops, lostRuns, answers, lease, clock, commitEnds, endCrashed } = this.#opts
    const { placement } = track
    const reason = result.type === 'refused' ? result.reason : undefined
    const nowMs = clock.monotonicMs()
    if ('clockMs' in result) lease.clock.noteAnswer(result.clockMs, nowMs)
    if (reason === 'no-room' || reason === 'unhealthy') answers.refusedAtMs = nowMs
    track.settledAtMs = nowMs
    if (result.type === 'in-doubt' || result.type === 'not-sent') answers.noteUnanswered(nowMs)
    if (result.type === 'gone') {
      track.phase = 'refused'
      return endCrashed()
    }
    if (result.type === 'started') host.noteBegun(placement)
    if (result.type === 'started' || reason === 'superseded') {
      track.phase = 'settled'
      stops.stopIfNeeded(placement)
      return
    }
    if (result.type === 'in-doubt') {
      track.phase = 'in-doubt'
      host.abandonGang(placement)
      return stops.stopUntilAnswered(track)
    }
    if (!(await commitEnds(lostRuns.listUnstartedEnds(placement)))) track.phase = 'settled'
  }
}
