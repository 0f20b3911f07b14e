/**
 * Applies the lists of an answered poll: commits the ends that they show, and only then lets the upstream forget them;
 * stops runs that should not be there.
 */
import { runFields } from '@nettlespur/batch.model'
import type { Placement, RunEnd } from '@nettlespur/batch.state'
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import { EndCursor } from './endCursor.js'
import { interpretPoll, type PollResult } from './interpretPoll.js'
import { listLateEnds } from './listLateEnds.js'
import type { LostRuns } from './lostRuns.js'
import type { RunStops } from './runStops.js'
import type { RunTracks } from './runTracks.js'
import type { SessionHost } from './sessionHost.js'
import { retryPauseMs, unreadPauseMs } from './sessionOptions.js'
import type { UpstreamTarget } from './upstreamPort.js'

export interface PollListsOptions {
  target: UpstreamTarget
  host: Pick<SessionHost, 'findJob' | 'noteBegun'>
  tracks: RunTracks
  lostRuns: LostRuns
  stops: RunStops
  clock: Clock
  logger: Logger
  signal: AbortSignal
  /** The runs placed on the upstream, by run key. */
  listPlacements: () => ReadonlyMap<string, Placement>
  /** Resolves to false if the ends were not committed. */
  commitEnds: (ends: readonly RunEnd[]) => Promise<boolean>
}

/** The lists in the answer to a poll, and the cursor that the poll carried. */
export type ListedPoll = PollResult & { readonly cursor: number }

export class PollLists {
  readonly cursor = new EndCursor()
  /** Whether the upstream may have more ends than its last lists contained. */
  mayHaveMoreEnds = false
  readonly #opts: PollListsOptions

  constructor(opts: PollListsOptions) {
    this.#opts = opts
  }

  async apply(poll: ListedPoll): Promise<void> {
    const { tracks, stops, clock, signal, listPlacements } = this.#opts
    const placed = listPlacements()
    const reading = interpretPoll(poll, placed, tracks.byKey)
    this.mayHaveMoreEnds = reading.mayHaveMoreEnds
    for (const end of reading.ends) this.#opts.host.noteBegun(end)
    for (const run of tracks.noteRunning(poll.running, placed)) {
      this.#log('run.stray', { jobId: run.jobId, attempt: run.attempt })
      void stops.stop(run)
    }
    for (const run of tracks.noteUnlisted(reading.unlisted, clock.monotonicMs())) {
      this.#log('run.unlisted', runFields(run))
    }
    this.cursor.noteReported(poll.finished)
    const evidence = { cursor: poll.cursor, listedMax: this.cursor.reported }
    const { lostRuns, commitEnds } = this.#opts
    const absentEnds = reading.absent.map((track) => lostRuns.toAbsentEnd(track, evidence))
    const crashedEnds = lostRuns.listCrashedEnds(reading.crashed)
    const lateEnds = this.#listLateEnds(poll, placed)
    if (!(await commitEnds([...reading.ends, ...lateEnds, ...absentEnds, ...crashedEnds]))) {
      await clock.sleep(retryPauseMs, signal)
    } else {
      for (const end of lateEnds) this.#log('run.done-late', runFields(end))
      if (reading.mayAcknowledge) this.cursor.advance()
    }
    stops.stopAllIfNeeded()
    if (poll.unreadRows > 0) await clock.sleep(unreadPauseMs, signal)
  }

  #listLateEnds(
    { finished }: ListedPoll,
    placements: ReadonlyMap<string, Placement>,
  ): readonly RunEnd[] {
    const { host, target } = this.#opts
    const { upstreamId } = target
    const findJob = (jobId: string) => host.findJob(jobId)
    return listLateEnds({ upstreamId, finished, placements, findJob })
  }

  #log(event: string, fields: Readonly<Record<string, string | number>>): void {
    const { logger, target } = this.#opts
    logger.info({ event, upstreamId: target.upstreamId, ...fields })
  }
}
