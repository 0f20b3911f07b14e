/** A run that a fake upstream has started and that has not ended. */
import type { Resources, RunRef } from '@nettlespur/batch.model'

export interface HeldRun {
  readonly run: RunRef
  readonly needs: Resources
  readonly startedAtMs: number
  isStopping: boolean
}
