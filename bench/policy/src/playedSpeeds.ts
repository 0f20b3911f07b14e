/** Feeds readings of progress and ends of the played runs to the leader's own learner of speeds. */
import { SpeedLearner, RecordFaultReporter } from '@nettlespur/batch.service'
import { RunPaces, type RunTrack } from '@nettlespur/batch.sessions'
import { certainSpeed, unknownSpeed, type SpeedDistribution } from '@nettlespur/batch.speeds'
import type { BatchState, RunEnd } from '@nettlespur/batch.state'
import type { Logger } from '@nettlespur/core.logger'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import { PlayedClock } from './playedClock.js'
import { toMachineId } from './playedProcesses.js'
import type { PolicyParts } from './policyParts.js'

/** Interval between two readings of an upstream: how long one without news delays its answer to a poll. */
const readEveryMs = 2000
/** Interval between two commits of estimates. */
const commitEveryMs = 2000
const silentLogger: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore }

export interface PlayedSpeedsOptions {
  state: BatchState
  parts: PolicyParts
  /** See `DayTroubles`. */
  paces: ReadonlyMap<string, number>
}

export class PlayedSpeeds {
  readonly #opts: PlayedSpeedsOptions
  readonly #clock = new PlayedClock()
  readonly #known: ReadonlyMap<string, SpeedDistribution>
  #learner: SpeedLearner | undefined
  #paces: RunPaces
  #committedAtMs = 0
  /** When the last answer of an upstream was read. */
  readonly #readAtMs = new Map<string, number>()

  constructor(opts: PlayedSpeedsOptions) {
    this.#opts = opts
    this.#known = new Map(
      [...opts.paces].map(([machineId, pace]) => [machineId, certainSpeed(pace)]),
    )
    this.#learner = this.#createLearner()
    this.#paces = new RunPaces(this.#learner)
  }

  /** Creates the meter of a run that is ordered now. */
  createMeter(hasCheckpoint: boolean): RunTrack['pace'] {
    return this.#paces.createMeter(hasCheckpoint ? undefined : this.#clock.nowMs)
  }

  get(upstreamId: string): SpeedDistribution {
    const { parts } = this.#opts
    if (!parts.speeds) return unknownSpeed
    if (parts.knownSpeeds) return this.#known.get(toMachineId(upstreamId)) ?? unknownSpeed
    return this.#learner?.get(upstreamId, this.#clock.nowMs) ?? unknownSpeed
  }

  /** To be called before anything else of a moment at which somebody leads. */
  advance(nowMs: number): void {
    this.#clock.nowMs = nowMs
    if (nowMs < this.#committedAtMs + commitEveryMs) return
    this.#learner?.clean()
    this.#commit(this.#learner)
  }

  /** Reads the progress of what runs on upstreams whose answers are due. */
  read(tracks: Iterable<RunTrack>): void {
    if (this.#learner === undefined) return
    const { nowMs } = this.#clock
    const isDue = (upstreamId: string): boolean => {
      return nowMs >= (this.#readAtMs.get(upstreamId) ?? -Infinity) + readEveryMs
    }
    const due = [...tracks].filter(({ placement }) => isDue(placement.upstreamId))
    for (const track of due) {
      this.#readAtMs.set(track.placement.upstreamId, nowMs)
      if (track.pace?.isOver === false) this.#paces.noteProgress(track, nowMs)
    }
  }

  /** To be called before the end is committed. The answer that reports it also reports the progress of other runs there. */
  noteEnd(end: RunEnd, track: RunTrack): void {
    this.#paces.noteEnd({ end, track, nowMs: this.#clock.nowMs, unansweredAtMs: -Infinity })
    this.#readAtMs.delete(end.upstreamId)
  }

  /** Lets another leader take over, which knows the committed estimates but not how runs began. */
  changeLeader(tracks: Iterable<RunTrack>): void {
    this.#learner = this.#createLearner()
    this.#paces = new RunPaces(this.#learner)
    for (const track of tracks) track.pace = this.#paces.createMeter(undefined)
  }

  #createLearner(): SpeedLearner | undefined {
    const { state, parts } = this.#opts
    if (!parts.speeds || parts.knownSpeeds) return undefined
    const metrics = new MetricsRegistry()
    const given = { clock: this.#clock, metrics, logger: silentLogger }
    const faults = new RecordFaultReporter(given)
    return new SpeedLearner({ ...given, faults, getState: () => state, isCold: () => false })
  }

  #commit(learner: SpeedLearner | undefined): void {
    const { nowMs } = this.#clock
    this.#committedAtMs = nowMs
    if (learner === undefined) return
    const { state } = this.#opts
    const known = [...state.upstreams.keys()].filter((id) => learner.get(id, nowMs).isKnown)
    const speeds = known.map((upstreamId) => {
      return { upstreamId, ...learner.speeds.getEstimate(upstreamId, nowMs) }
    })
    state.apply({ type: 'note-speeds', speeds })
  }
}

function ignore(): void {
  // Nobody reads the log of a played day.
}
