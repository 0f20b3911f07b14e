/**
 * Decides which waiting gangs start where, and which running gangs are preempted for them. A policy may keep
 * reservations and forming blocks between rounds, but it uses neither a clock nor random numbers.
 */
import type { UpstreamView } from '@nettlespur/api.schemas'
import { emptyPlan, type ReservationPlan } from '@nettlespur/placement.plan'
import { FirstFitChooser, ClusterMap, fitGang, type Demand } from '@nettlespur/placement.topology'
import type { PlacementDecision } from './placementDecision.js'
import type { PlacementView } from './placementView.js'

export abstract class PlacementPolicy {
  /** Returns one `place`, `wait` or `refuse` decision for each waiting job, and any preemptions. */
  abstract decide(view: PlacementView): PlacementDecision[]

  /** The reservations for guaranteed shapes as of the last call of `decide`. */
  get plan(): ReservationPlan {
    return emptyPlan
  }

  /** Whether the gang would fit on these upstreams if all were ready and no other gang ran. */
  canEverFit(demand: Demand, upstreams: readonly UpstreamView[]): boolean {
    return canFitOnEmpty(createEmptyMap(upstreams), demand)
  }
}

/** Creates a map in which all upstreams are ready and no gang runs. */
export function createEmptyMap(upstreams: readonly UpstreamView[]): ClusterMap {
  const emptied = upstreams.map((view): UpstreamView => ({ ...view, state: 'ready' }))
  return new ClusterMap(emptied, [])
}

export function canFitOnEmpty(map: ClusterMap, demand: Demand): boolean {
  return fitGang(map, demand, new FirstFitChooser()) !== undefined
}
