/** All kinds of decisions that a placement round makes. Each has a reason that users can read. */
import type { Block } from '@nettlespur/placement.topology'

/** Starts a waiting job on these accelerators, all of which are free. */
export interface PlaceDecision {
  readonly kind: 'place'
  readonly jobId: string
  readonly blocks: readonly Block[]
  readonly reason: string
}

/** Stops a running job and queues it again, so that another job can use its accelerators. */
export interface PreemptDecision {
  readonly kind: 'preempt'
  /** The job to stop. */
  readonly jobId: string
  readonly forJobId: string
  /** Whether to take a checkpoint first; without one, the victim resumes from its last checkpoint. */
  readonly withCheckpoint: boolean
  readonly reason: string
}

export interface WaitDecision {
  readonly kind: 'wait'
  readonly jobId: string
  readonly reason: string
}

/** Ends a waiting job that can never run. */
export interface RefuseDecision {
  readonly kind: 'refuse'
  readonly jobId: string
  readonly reason: string
}

export type PlacementDecision = PlaceDecision | PreemptDecision | WaitDecision | RefuseDecision
