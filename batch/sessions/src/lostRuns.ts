/** Creates the ends of runs whose end their upstream has not reported, and logs one line for each such run. */
import { runFields, runKey } from '@nettlespur/batch.model'
import type { CrashBlame, Placement, RunEnd } from '@nettlespur/batch.state'
import { blameCrash, type CrashedRun } from './blameCrash.js'
import type { LossCause } from './lossCause.js'
import type { RunPhase, RunTrack } from './runTrack.js'
import type { RunTracks } from './runTracks.js'
import type { UpstreamSessionOptions } from './sessionOptions.js'

/** The causes with which the upstream may have crashed. */
const mayBeCrash: Readonly<Record<LossCause, boolean>> = {
  crashed: true,
  'lease-over': true,
  left: false,
  unlisted: false,
  absent: false,
  'not-started': false,
}

const startByPhase: Readonly<Record<RunPhase, CrashedRun['start']>> = {
  starting: 'not-yet',
  refused: 'not-yet',
  'in-doubt': 'unknown',
  inherited: 'unknown',
  settled: 'seen',
}

/** Tells a run that never started from one whose end the upstream has forgotten. */
export interface AbsenceEvidence {
  /** The cursor that the poll carried. */
  readonly cursor: number
  /** The highest number of an end that the upstream has listed in this session. */
  readonly listedMax: number
}

export interface LostRunsOptions extends Pick<
  UpstreamSessionOptions,
  'target' | 'host' | 'clock' | 'logger'
> {
  tracks: RunTracks
}

export class LostRuns {
  readonly #opts: LostRunsOptions
  /** Keys of the runs already logged: the ends are listed again if committing them fails. */
  readonly #loggedKeys = new Set<string>()

  constructor(opts: LostRunsOptions) {
    this.#opts = opts
  }

  /** Returns the end of a run that was never started and never will be. */
  listUnstartedEnds(placement: Placement): RunEnd[] {
    this.#log(placement, 'not-started')
    return [{ ...placement, outcome: 'lost' }]
  }

  /** Returns the end of a run that is absent from an answer. `evidence` is what that answer is judged by. */
  toAbsentEnd({ placement, checkpoint }: RunTrack, evidence: AbsenceEvidence): RunEnd {
    this.#log(placement, 'absent', undefined, evidence)
    return { ...placement, outcome: 'lost', checkpoint }
  }

  /** Returns the ends of runs that went down with the processes that this one has replaced. */
  listCrashedEnds(tracks: readonly RunTrack[]): RunEnd[] {
    const byProcess = new Map<string, Placement[]>()
    for (const { placement } of tracks) {
      const { upstreamId } = placement
      byProcess.set(upstreamId, [...(byProcess.get(upstreamId) ?? []), placement])
    }
    return [...byProcess].flatMap(([upstreamId, placements]) =>
      this.listEnds(placements, 'crashed', upstreamId),
    )
  }

  /**
   * Returns the ends of `placements`, all on one process, each with the newest checkpoint seen. `upstreamId` is that of
   * the process that ended.
   */
  listEnds(
    placements: readonly Placement[],
    cause: LossCause,
    upstreamId = this.#opts.target.upstreamId,
  ): RunEnd[] {
    const blames = this.#blame(placements, cause, upstreamId)
    return placements.map((placement) => {
      const blame = blames.get(runKey(placement))
      this.#log(placement, cause, blame)
      const checkpoint = this.#opts.tracks.find(placement)?.checkpoint
      if (blame === undefined) return { ...placement, outcome: 'lost', checkpoint }
      if (cause === 'crashed')
        return { ...placement, outcome: 'crashed', isCertain: true, checkpoint, blame }
      return { ...this.#toSilentEnd(placement, upstreamId), checkpoint, blame }
    })
  }

  #toSilentEnd(placement: Placement, upstreamId: string): RunEnd {
    const track = this.#opts.tracks.find(placement)
    // A later process has listed the run, so that it was there as this one fell silent.
    const isElsewhere = placement.upstreamId !== upstreamId && track?.phaseBeforeCrash === undefined
    return {
      ...placement,
      outcome: 'silent',
      ...(isElsewhere ? { silentUpstreamId: upstreamId } : {}),
      ...(track?.isProven === true ? { wasAtWork: true } : {}),
    }
  }

  /** Returns an empty map if the upstream cannot have crashed, and omits refused runs, which never reached it. */
  #blame(
    placements: readonly Placement[],
    cause: LossCause,
    upstreamId: string,
  ): ReadonlyMap<string, CrashBlame> {
    const upstream = this.#opts.host.findUpstream(upstreamId)
    if (!mayBeCrash[cause] || upstream?.isDraining === true) return new Map()
    const runs = placements
      .map((placement) => this.#describe(placement))
      .filter(({ phase }) => phase !== 'refused')
    return blameCrash(runs, cause === 'crashed')
  }

  #describe(placement: Placement): CrashedRun & Pick<RunTrack, 'phase'> {
    const track = this.#opts.tracks.find(placement)
    const phase = track?.phaseBeforeCrash ?? track?.phase ?? 'starting'
    const isProven = track?.isProven === true
    const start = track?.wasInherited === true ? 'unknown' : startByPhase[phase]
    return { placement, phase, isProven, start }
  }

  #log(
    placement: Placement,
    cause: LossCause,
    blame?: CrashBlame,
    evidence?: AbsenceEvidence,
  ): void {
    if (this.#loggedKeys.has(runKey(placement))) return
    this.#loggedKeys.add(runKey(placement))
    const { clock, logger, tracks } = this.#opts
    const track = tracks.find(placement)
    const sinceStartMs = track && Math.round(clock.monotonicMs() - track.startedAtMs)
    logger.info({
      event: 'run.lost',
      ...runFields(placement),
      upstreamId: placement.upstreamId,
      cause,
      blame,
      phase: track?.phaseBeforeCrash ?? track?.phase,
      isProven: track?.isProven,
      sinceStartMs,
      ...evidence,
    })
  }
}
