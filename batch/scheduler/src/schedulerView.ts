/** All that one round of decisions looks at. The round changes none of it but its own copies of the rooms. */
import type { JobRecord, Placement } from '@nettlespur/batch.state'
import type { Resources, TaskRef } from '@nettlespur/batch.model'

/** An upstream that may be given work. */
export interface SchedulableUpstream {
  readonly upstreamId: string
  readonly pool: string
  readonly rack: string
  readonly labels: readonly string[]
  readonly capacity: Resources
  /** What one more task may take now. */
  readonly free: Resources
  /** `free`, and what runs that are being stopped will give back. */
  readonly freeAfterStops: Resources
  /** What starts there would be the only one to blame if it crashed: no run there is new, and it has not crashed lately. */
  readonly isSuitableForTrial: boolean
}

/** A run that may be stopped for others. */
export interface ActiveRun {
  readonly placement: Placement
  readonly needs: Resources
  /** On the clock of `nowMs`, as its progress or its declared run time says. */
  readonly expectedEndMs: number
  /** Work that a stop would throw away, in core-seconds. */
  readonly stopCostCoreSeconds: number
  /** It has been told to stop, or is about to be. */
  readonly isStopping: boolean
}

export interface SchedulerView {
  readonly nowMs: number
  /** In the order in which they were accepted. */
  readonly jobs: readonly JobRecord[]
  /** When each job came, on the clock of `nowMs`. */
  readonly acceptedAtMs: ReadonlyMap<string, number>
  readonly upstreams: readonly SchedulableUpstream[]
  readonly runs: readonly ActiveRun[]
  /** Whether the run was seen at work for long enough that it will not crash its upstream by being started. */
  readonly isProven: (run: Placement) => boolean
  /** Whether the task is not to start for a moment, as its last starts came to nothing. */
  readonly isPaused: (task: TaskRef) => boolean
  /** Accelerators that each workspace is guaranteed. */
  readonly guarantees: ReadonlyMap<string, number>
}

/** A run to stop, so that other work can start in its place. */
export interface Preemption {
  readonly run: Placement
  readonly forJobId: string
  /** Whether that job has its room promised; else it is urgent and its own work is worth more. */
  readonly isGuaranteed: boolean
  /** Its share of what the stop throws away, in core-seconds; urgent work counts five times. */
  readonly lostCoreSeconds: number
}

/** What a round has decided. */
export interface RoundDecision {
  readonly placements: Placement[]
  readonly preemptions: Preemption[]
}
