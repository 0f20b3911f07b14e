/** Whoever wants to know how fast runs make progress. Sessions without one measure nothing. */
import type { Placement } from '@nettlespur/batch.state'
import type { RunPace } from './paceMeter.js'

export abstract class PaceWatch {
  /** Asked once for each run, before its first reading. If not, nothing of the run is measured. */
  abstract isWanted(run: Placement): boolean
  /** Called at most once for each run, while it is still placed. */
  abstract notePace(run: Placement, pace: RunPace): void
  /** The upstream has reported progress that cannot be. */
  abstract noteInvalidProgress(run: Placement, progressPercent: number): void
}
