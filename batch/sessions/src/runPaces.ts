/** Measures the paces of the runs that a session follows, and passes them on to the session's `PaceWatch`. */
import type { RunEnd } from '@nettlespur/batch.state'
import { PaceMeter } from './paceMeter.js'
import type { PaceWatch } from './paceWatch.js'
import type { RunTrack } from './runTrack.js'

export interface NotedEnd {
  end: RunEnd
  /** Undefined if the session does not follow the run. */
  track: RunTrack | undefined
  nowMs: number
  /** When a call to the upstream last went unanswered. */
  unansweredAtMs: number
}

export class RunPaces {
  readonly #watch: PaceWatch | undefined

  constructor(watch: PaceWatch | undefined) {
    this.#watch = watch
  }

  /** `begunAtMs` is undefined if the run does not begin now, or not at 0 %. Returns undefined without a watch. */
  createMeter(begunAtMs: number | undefined): PaceMeter | undefined {
    return this.#watch === undefined ? undefined : new PaceMeter(begunAtMs)
  }

  /** Call it with each reported progress of a run whose pace is not measured yet. */
  noteProgress({ pace: meter, placement, progressPercent, isStopping }: RunTrack, nowMs: number) {
    if (meter === undefined || this.#watch === undefined) return
    if (isStopping || (!meter.hasReading && !this.#watch.isWanted(placement))) {
      meter.isOver = true
      return
    }
    const pace = meter.read(progressPercent, nowMs)
    if (pace === 'invalid') this.#watch.noteInvalidProgress(placement, progressPercent)
    else if (pace !== undefined) this.#watch.notePace(placement, pace)
  }

  /**
   * Call it before the end is committed. Ends other than `done` say nothing about the pace. Neither does an end after an
   * unanswered call: it was read late, so that an upstream that was cut off would seem slow.
   */
  noteEnd({ end: { outcome }, track, nowMs, unansweredAtMs }: NotedEnd): void {
    const meter = track?.pace
    if (track === undefined || meter === undefined || meter.isOver) return
    if (unansweredAtMs > meter.seenAtMs) {
      meter.isOver = true
      return
    }
    const { placement } = track
    const isWanted =
      outcome === 'done' && (meter.hasReading || this.#watch?.isWanted(placement) === true)
    const pace = meter.end(nowMs)
    if (isWanted && pace !== undefined) this.#watch?.notePace(placement, pace)
  }
}
