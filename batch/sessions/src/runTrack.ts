/** What the leader knows of one placed run. */
import type { Placement } from '@nettlespur/batch.state'

/**
 * `starting`: the order is under way. `inherited`: placed by an earlier leader, not yet seen. `settled`:
 * the upstream has answered at `settledAtMs`, so a look sent later shows the run or its end, or it will
 * never run. `in-doubt`: an order may have got there, and a stop is to settle it.
 */
export type RunPhase = 'starting' | 'inherited' | 'settled' | 'in-doubt'

export interface RunTrack {
  readonly placement: Placement
  phase: RunPhase
  /** On our clock. */
  settledAtMs: number
  startedAtMs: number
  /** Where the measurement of its pace begins: at once for a run that began anew. */
  firstPercent: number
  firstPercentAtMs: number
  progressPercent: number
  /** When that was seen. */
  progressAtMs: number
  checkpoint: string
  checkpointAtMs: number
  /** It did not begin anew under this leader's eyes. */
  isResumed: boolean
  /** The first look at a resumed run is in. */
  hasBaseline: boolean
  /** A stop is on its way, or was answered. */
  isStopping: boolean
}

/** Takes in the progress that a look showed. */
export function noteProgress(track: RunTrack, percent: number, nowMs: number): void {
  if (track.isResumed && !track.hasBaseline) {
    track.hasBaseline = true
    track.firstPercent = percent
    track.firstPercentAtMs = nowMs
  }
  track.progressPercent = percent
  track.progressAtMs = nowMs
}

export function createRunTrack(placement: Placement, phase: RunPhase, nowMs: number): RunTrack {
  return {
    placement,
    phase,
    settledAtMs: nowMs,
    startedAtMs: nowMs,
    firstPercent: 0,
    firstPercentAtMs: nowMs,
    progressPercent: 0,
    progressAtMs: nowMs,
    checkpoint: '',
    checkpointAtMs: nowMs,
    isResumed: phase === 'inherited',
    hasBaseline: false,
    isStopping: false,
  }
}
