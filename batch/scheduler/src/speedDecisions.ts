/** What a round has decided for the sake of speed, for logs and metrics. */
import type { UnitRef } from '@nettlespur/batch.model'

/** How the speeds of the upstreams on which a unit is placed compare with the one that it needs. */
export interface SpeedChoice extends UnitRef {
  /** 0 if any speed would do. */
  readonly neededSpeed: number
  /** The lowest mean speed of the upstreams. */
  readonly lowestSpeed: number
  /** Whether at least one of the upstreams is known to be too slow for the unit. */
  readonly isTooSlow: boolean
}

/** A pool that calls for placement by speed, and why. */
export interface GradedPool {
  readonly pool: string
  /** The speed below which jobs of its most urgent queue are late even if they start at once. */
  readonly urgentSpeed: number
  /** Number of its upstreams that are known to be slower than that. */
  readonly slowUpstreams: number
  readonly upstreams: number
}

export interface SpeedDecisions {
  readonly pools: readonly GradedPool[]
  /** Units placed in pools that call for placement by speed. */
  readonly choices: readonly SpeedChoice[]
  /** Units that are left waiting because only upstreams that are too slow for them have room. */
  readonly held: readonly UnitRef[]
}
