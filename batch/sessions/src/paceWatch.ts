/** Receives the paces of the runs that a session follows. A session without one measures nothing. */
import type { Placement } from '@nettlespur/batch.state'
import type { RunPace } from './paceMeter.js'

export abstract class PaceWatch {
  /**
   * Whether the pace of the run is of use; otherwise nothing of the run is measured. Asked once for each run: before its
   * first reading, or at its end if there was none.
   */
  abstract isWanted(run: Placement): boolean
  /** Called at most once for each run, while it is still placed. */
  abstract notePace(run: Placement, pace: RunPace): void
  /** Called if the upstream reports progress that runs backwards or beyond 100. */
  abstract noteInvalidProgress(run: Placement, progressPercent: number): void
}
