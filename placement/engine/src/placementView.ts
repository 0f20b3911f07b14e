/** What a placement decision is taken from: nothing else of the cluster is looked at. */
import type { Contract, Urgency, UpstreamView } from '@nettlespur/api.schemas'
import type { Demand, RunningGang, Stoppability } from '@nettlespur/placement.topology'

export interface WaitingJob extends Demand {
  readonly jobId: string
  readonly workspace: string
  readonly urgency: Urgency
  readonly stoppability: Stoppability
  readonly submittedAtMs: number
  /** When it was queued last: at its submission, or when an attempt was given up. */
  readonly queuedAtMs: number
  /** How long it is expected to run, after correction; it orders jobs and bounds nothing. */
  readonly expectedRunTimeMs: number
  /** Where the job must not go, such as where it failed before. */
  readonly avoidedUpstreamIds?: ReadonlySet<string>
  /** Set where the job may not be placed yet, in plain words. */
  readonly holdReason?: string | undefined
}

export interface PlacementView {
  readonly nowMs: number
  readonly upstreams: readonly UpstreamView[]
  /** Whether all upstreams that are up had the time to announce themselves. */
  readonly upstreamsKnown: boolean
  /** All gangs that hold accelerators. */
  readonly running: readonly RunningGang[]
  /** In order of submission. */
  readonly waiting: readonly WaitingJob[]
  readonly contracts: readonly Contract[]
}
