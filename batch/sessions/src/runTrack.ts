/** What the leader knows about one placed run. */
import type { Placement } from '@nettlespur/batch.state'
import type { PaceMeter } from './paceMeter.js'

/**
 * - `starting`: the start order is in flight.
 * - `inherited`: placed by an earlier leader, or on a process that this one has replaced, and not listed yet.
 * - `settled`: the upstream answered an order for the run, or has listed an inherited run. If a poll sent after
 *   `settledAtMs` lists neither the run nor its end, the run will never start.
 * - `in-doubt`: the start order may have arrived; a stop order will settle it.
 * - `refused`: the order reached another process under the upstream's address.
 */
export type RunPhase = 'starting' | 'inherited' | 'settled' | 'in-doubt' | 'refused'

export interface RunTrack {
  readonly placement: Placement
  phase: RunPhase
  /** Whether an earlier leader started it, so that this one does not know for how long it has been running. */
  readonly wasInherited: boolean
  /**
   * The phase as its process was replaced. Set until the successor lists the run: the order to start it may have reached
   * the successor.
   */
  phaseBeforeCrash?: RunPhase | undefined
  /** On the leader's clock, as all times here. */
  settledAtMs: number
  startedAtMs: number
  progressPercent: number
  checkpoint: string
  /**
   * Since when the run has been missing from answers that contained unparsable rows; undefined while it is listed.
   */
  unlistedSinceMs?: number | undefined
  /** Whether a stop order is in flight or has been answered. */
  isStopping: boolean
  /** Whether it was seen running so long after its start that it will not crash its upstream by starting. */
  isProven: boolean
  /** Whether it is suspected of crashing upstreams: until it is proven, nothing else starts there. */
  readonly isOnTrial: boolean
  /** Measures how fast it makes progress; undefined if the session has no `PaceWatch`. */
  pace?: PaceMeter | undefined
}

type NewRunTrack = Pick<RunTrack, 'placement' | 'phase' | 'startedAtMs' | 'isOnTrial' | 'pace'>

export function createRunTrack(run: NewRunTrack): RunTrack {
  return {
    ...run,
    wasInherited: run.phase === 'inherited',
    settledAtMs: run.startedAtMs,
    progressPercent: 0,
    checkpoint: '',
    isStopping: false,
    isProven: false,
  }
}
