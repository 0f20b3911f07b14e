/** The whole input of a placement decision; policies use no other state of the cluster. */
import type { Contract, Urgency, UpstreamView } from '@nettlespur/api.schemas'
import type { Demand, RunningGang, Stoppability } from '@nettlespur/placement.topology'

export interface WaitingJob extends Demand {
  readonly jobId: string
  readonly workspace: string
  readonly urgency: Urgency
  readonly stoppability: Stoppability
  readonly submittedAtMs: number
  /** When the job was last queued: at submission, or when an attempt was abandoned. */
  readonly queuedAtMs: number
  /** Expected run time, after correction; it only orders jobs and sets no time limit. */
  readonly expectedRunTimeMs: number
  /** Upstreams where the job must not be placed, such as those where it failed before. */
  readonly avoidedUpstreamIds?: ReadonlySet<string>
  /** Why the job must not be placed yet, as shown to the user; undefined if it may be. */
  readonly holdReason?: string | undefined
}

export interface PlacementView {
  readonly nowMs: number
  readonly upstreams: readonly UpstreamView[]
  /** All gangs that hold accelerators, including those that reserve or stop. */
  readonly running: readonly RunningGang[]
  /** Sorted by time of submission. */
  readonly waiting: readonly WaitingJob[]
  readonly contracts: readonly Contract[]
}
