/** The placed runs that a session follows. */
import { runKey, type RunRef } from '@nettlespur/batch.model'
import { isSuspectTask, type JobRecord, type Placement, type RunEnd } from '@nettlespur/batch.state'
import type { Clock } from '@nettlespur/core.clock'
import { RunPaces } from './runPaces.js'
import { createRunTrack, type RunPhase, type RunTrack } from './runTrack.js'
import type { SessionHost } from './sessionHost.js'
import { provenAfterMs, unlistedMsMax, type UpstreamSessionOptions } from './sessionOptions.js'
import type { RunningRun } from './upstreamPort.js'

/** The part that code outside the session may read. */
export type ReadonlyRunTracks = Pick<
  RunTracks,
  'byKey' | 'find' | 'hasTrial' | 'hasUnproven' | 'unlistedAtMs'
>

export class RunTracks {
  /** When a run was last missing from an answer with unparsable rows, on the leader's clock. */
  unlistedAtMs = -Infinity
  readonly #byKey = new Map<string, RunTrack>()
  readonly #host: SessionHost
  readonly #clock: Clock
  readonly #paces: RunPaces

  constructor({
    host,
    clock,
    paceWatch,
  }: Pick<UpstreamSessionOptions, 'host' | 'clock' | 'paceWatch'>) {
    this.#host = host
    this.#clock = clock
    this.#paces = new RunPaces(paceWatch)
  }

  get byKey(): ReadonlyMap<string, RunTrack> {
    return this.#byKey
  }

  /** Whether any run was placed by an earlier leader, or on a replaced process, and has not been listed yet. */
  get hasInherited(): boolean {
    return [...this.#byKey.values()].some(({ phase }) => phase === 'inherited')
  }

  find(run: RunRef): RunTrack | undefined {
    return this.#byKey.get(runKey(run))
  }

  /** Whether any run is not proven yet, and would therefore be a suspect if the upstream crashed now. */
  get hasUnproven(): boolean {
    for (const { isProven } of this.#byKey.values()) if (!isProven) return true
    return false
  }

  /** Whether a run is on trial, so that nothing else may start there. */
  get hasTrial(): boolean {
    for (const { isOnTrial, isProven } of this.#byKey.values()) {
      if (isOnTrial && !isProven) return true
    }
    return false
  }

  follow(placement: Placement, phase: RunPhase): RunTrack {
    const job = this.#host.findJob(placement.jobId)
    const isOnTrial = job !== undefined && isSuspectTask(job, placement)
    const startedAtMs = this.#clock.monotonicMs()
    const beginsNow = phase === 'starting' && !hasCheckpoint(job, placement)
    const pace = this.#paces.createMeter(beginsNow ? startedAtMs : undefined)
    const track = createRunTrack({ placement, phase, isOnTrial, startedAtMs, pace })
    this.#byKey.set(runKey(placement), track)
    return track
  }

  /** Follows runs of a process that this one has replaced. */
  adopt(tracks: readonly RunTrack[]): void {
    for (const track of tracks) {
      track.phaseBeforeCrash ??= track.phase
      track.phase = 'inherited'
      track.settledAtMs = this.#clock.monotonicMs()
      track.unlistedSinceMs = undefined
      track.isStopping = false
      track.pace = undefined
      this.#byKey.set(runKey(track.placement), track)
    }
  }

  remove(run: RunRef): void {
    this.#byKey.delete(runKey(run))
  }

  /** Drops runs that are no longer placed, such as those of a gang of which another member has finished. */
  keepOnly(placements: ReadonlyMap<string, Placement>): void {
    for (const key of this.#byKey.keys()) {
      if (!placements.has(key)) this.#byKey.delete(key)
    }
  }

  /** Updates the listed runs, and returns those that should not run there. */
  noteRunning(
    running: readonly RunningRun[],
    placements: ReadonlyMap<string, Placement>,
  ): RunRef[] {
    const nowMs = this.#clock.monotonicMs()
    const strays: RunRef[] = []
    for (const { run, checkpoint, progressPercent } of running) {
      const track = this.find(run)
      if (track === undefined || !placements.has(runKey(run))) {
        strays.push(run)
        continue
      }
      this.#host.noteBegun(run)
      if (track.phase === 'inherited') track.phase = 'settled'
      track.phaseBeforeCrash = undefined
      track.isProven ||= track.phase === 'settled' && nowMs - track.settledAtMs >= provenAfterMs
      track.unlistedSinceMs = undefined
      track.progressPercent = progressPercent
      track.checkpoint = checkpoint
      if (track.pace?.isOver === false) this.#paces.noteProgress(track, nowMs)
    }
    return strays
  }

  /** Call it before the ends are committed. `unansweredAtMs` is when a call to the upstream last went unanswered. */
  noteEnds(ends: readonly RunEnd[], unansweredAtMs: number): void {
    const nowMs = this.#clock.monotonicMs()
    for (const end of ends)
      this.#paces.noteEnd({ end, track: this.find(end), nowMs, unansweredAtMs })
  }

  /** Records runs that are missing from an answer with unparsable rows, and returns those newly missing. */
  noteUnlisted(unlisted: readonly RunTrack[], nowMs: number): RunRef[] {
    if (unlisted.length > 0) this.unlistedAtMs = nowMs
    const newlyUnlisted = unlisted.filter(({ unlistedSinceMs }) => unlistedSinceMs === undefined)
    for (const track of newlyUnlisted) track.unlistedSinceMs = nowMs
    return newlyUnlisted.map(({ placement }) => placement)
  }

  /** Whether a run that may still be there has been missing from the answers for `unlistedMsMax`. */
  hasLongUnlisted(nowMs: number): boolean {
    return [...this.#byKey.values()].some(
      ({ unlistedSinceMs = Infinity }) => nowMs - unlistedSinceMs >= unlistedMsMax,
    )
  }
}

/** Whether the run resumes from a checkpoint. */
function hasCheckpoint(job: JobRecord | undefined, { step, index }: RunRef): boolean {
  return (job?.steps[step]?.tasks[index]?.checkpoint ?? '') !== ''
}
