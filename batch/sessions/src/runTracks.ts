/** The runs that a session follows. */
import { runKey, type RunRef } from '@nettlespur/batch.model'
import { isSuspectTask, type Placement } from '@nettlespur/batch.state'
import type { Clock } from '@nettlespur/core.clock'
import { createRunTrack, type RunPhase, type RunTrack } from './runTrack.js'
import type { SessionHost } from './sessionHost.js'
import { provenAfterMs, unlistedMsMax, type UpstreamSessionOptions } from './sessionOptions.js'
import type { RunningRun } from './upstreamPort.js'

/** What others than the session itself may read. */
export type ReadonlyRunTracks = Pick<
  RunTracks,
  'find' | 'hasTrial' | 'hasUnproven' | 'unlistedAtMs'
>

export class RunTracks {
  /** When a run was last missing from a look with rows that could not be read, on our clock. */
  unlistedAtMs = -Infinity
  readonly #byKey = new Map<string, RunTrack>()
  readonly #host: SessionHost
  readonly #clock: Clock

  constructor({ host, clock }: Pick<UpstreamSessionOptions, 'host' | 'clock'>) {
    this.#host = host
    this.#clock = clock
  }

  get byKey(): ReadonlyMap<string, RunTrack> {
    return this.#byKey
  }

  /** Some were placed by an earlier leader and have not been seen yet. */
  get hasInherited(): boolean {
    return [...this.#byKey.values()].some(({ phase }) => phase === 'inherited')
  }

  find(run: RunRef): RunTrack | undefined {
    return this.#byKey.get(runKey(run))
  }

  /** Some run has not yet been seen at work for long enough; an upstream that crashes now has it among the suspects. */
  get hasUnproven(): boolean {
    for (const { isProven } of this.#byKey.values()) if (!isProven) return true
    return false
  }

  /** Nothing else is to start there for now. */
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
    const track = createRunTrack({ placement, phase, isOnTrial, startedAtMs })
    this.#byKey.set(runKey(placement), track)
    return track
  }

  remove(run: RunRef): void {
    this.#byKey.delete(runKey(run))
  }

  /** Forgets runs that ended elsewhere: another member of a gang was done, or its job was. */
  keepOnly(placements: ReadonlyMap<string, Placement>): void {
    for (const key of this.#byKey.keys()) {
      if (!placements.has(key)) this.#byKey.delete(key)
    }
  }

  /** Takes in what runs. Gives the runs that are not to be there. */
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
      if (track.phase === 'inherited') track.phase = 'settled'
      track.isProven ||= track.phase === 'settled' && nowMs - track.settledAtMs >= provenAfterMs
      track.unlistedSinceMs = undefined
      track.progressPercent = progressPercent
      track.checkpoint = checkpoint
    }
    return strays
  }

  /** Takes in what a look with unread rows does not show. Gives the runs that were listed until now. */
  noteUnlisted(unlisted: readonly RunTrack[], nowMs: number): RunRef[] {
    if (unlisted.length > 0) this.unlistedAtMs = nowMs
    const newlyUnlisted = unlisted.filter(({ unlistedSinceMs }) => unlistedSinceMs === undefined)
    for (const track of newlyUnlisted) track.unlistedSinceMs = nowMs
    return newlyUnlisted.map(({ placement }) => placement)
  }

  /** Looks go on to hide a run that may be there. */
  hasLongUnlisted(nowMs: number): boolean {
    return [...this.#byKey.values()].some(
      ({ unlistedSinceMs = Infinity }) => nowMs - unlistedSinceMs >= unlistedMsMax,
    )
  }
}
