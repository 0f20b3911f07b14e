/** How much of a run's work its end saves. */
import type { RunOutcome } from '@nettlespur/batch.state'

export interface SavedWorkOptions {
  ranMs: number
  outcome: RunOutcome
  /** Interval of regular checkpoints. */
  checkpointMs: number
}

/** A stop saves all; what ends otherwise keeps its last regular checkpoint. */
export function savedMsOf({ ranMs, outcome, checkpointMs }: SavedWorkOptions): number {
  if (outcome === 'stopped' || outcome === 'broken') return ranMs
  return Math.floor(ranMs / checkpointMs) * checkpointMs
}
