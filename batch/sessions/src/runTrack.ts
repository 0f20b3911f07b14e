/** What the leader knows of one placed run. */
import type { Placement } from '@nettlespur/batch.state'

/**
 * `starting`: the order is under way. `inherited`: placed by an earlier leader, not yet seen. `settled`:
 * the upstream has answered at `settledAtMs`, so a look sent later shows the run or its end, or it will
 * never run. `in-doubt`: an order may have got there, and a stop is to settle it. `refused`: another life of the upstream
 * got the order.
 */
export type RunPhase = 'starting' | 'inherited' | 'settled' | 'in-doubt' | 'refused'

export interface RunTrack {
  readonly placement: Placement
  phase: RunPhase
  /** On our clock. */
  settledAtMs: number
  startedAtMs: number
  progressPercent: number
  checkpoint: string
  /**
   * Since when, on our clock, it has been missing from looks with rows that could not be read; undefined where it is
   * listed.
   */
  unlistedSinceMs?: number | undefined
  /** A stop is on its way, or was answered. */
  isStopping: boolean
  /** It was seen at work for so long after its start that it will not crash its upstream by being started. */
  isProven: boolean
  /** It is suspected of crashing its upstream: until it is proven, nothing else starts there. */
  readonly isOnTrial: boolean
}

type NewRunTrack = Pick<RunTrack, 'placement' | 'phase' | 'startedAtMs' | 'isOnTrial'>

export function createRunTrack(run: NewRunTrack): RunTrack {
  return {
    ...run,
    settledAtMs: run.startedAtMs,
    progressPercent: 0,
    checkpoint: '',
    isStopping: false,
    isProven: false,
  }
}
