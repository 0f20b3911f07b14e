/** What urgent work is expected to claim of one pool; see `UrgentDemand`. */
import type { Resources } from '@nettlespur/batch.model'

/** Capacity that urgent work is expected to claim. */
export interface ExpectedClaims {
  /** Needs of a usual urgent task: half of the claimed accelerators are for tasks that are no larger. */
  readonly taskNeeds: Resources
  readonly taskCount: number
}
