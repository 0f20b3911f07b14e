/**
 * Starvation: a unit of a job of which nothing runs is left waiting although its pool has ample capacity, or because only
 * evacuated upstreams could take it. Preferences are worth a short wait only, so a round reports which units starve, and
 * the reason if asked.
 */
import type { UnitRef } from '@nettlespur/batch.model'
import type { Preference } from './preference.js'

/**
 * - The last preference to relax so that the unit could start.
 * - `speed`: only upstreams that are too slow for it have room, and it would be on time on others.
 * - `fragmentation`: no upstreams have room for it.
 * - `evacuated-data-centre`: it fits only with upstreams on which nothing may start.
 */
export type StarvationReason = Preference | 'speed' | 'fragmentation' | 'evacuated-data-centre'

export interface StarvingUnit extends UnitRef {
  /** Free share of its pool after the round. */
  readonly freeShare: number
  /** Computes the reason; call it only for a few units, and before the next round. */
  readonly explain: () => StarvationReason
}
