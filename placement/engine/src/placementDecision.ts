/** The closed list of what a placement round may decide. Each decision names its reason in plain words. */
import type { Block } from './placementView.js'

/** Start this waiting job on these accelerators, all of which are free. */
export interface PlaceDecision {
  readonly kind: 'place'
  readonly jobId: string
  readonly blocks: readonly Block[]
  readonly reason: string
}

/** Stop this running job and queue it again, so that another one may have its accelerators. */
export interface PreemptDecision {
  readonly kind: 'preempt'
  /** The victim. */
  readonly jobId: string
  readonly forJobId: string
  /** Whether a checkpoint is to be taken first; without one, the victim starts again from its last one. */
  readonly withCheckpoint: boolean
  readonly reason: string
}

export interface WaitDecision {
  readonly kind: 'wait'
  readonly jobId: string
  readonly reason: string
}

/** End this waiting job: it can never run. */
export interface RefuseDecision {
  readonly kind: 'refuse'
  readonly jobId: string
  readonly reason: string
}

export type PlacementDecision = PlaceDecision | PreemptDecision | WaitDecision | RefuseDecision
