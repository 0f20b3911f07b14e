/** How much of a run's work its end saves. */
import type { RunOutcome } from '@nettlespur/batch.state'

const checkpointMs = 2000

/** A stop saves all; what ends otherwise keeps its last regular checkpoint. */
export function savedMsOf(ranMs: number, outcome: RunOutcome): number {
  if (outcome === 'stopped' || outcome === 'broken') return ranMs
  return Math.floor(ranMs / checkpointMs) * checkpointMs
}
