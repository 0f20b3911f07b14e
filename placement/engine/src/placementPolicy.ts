/**
 * Decides which waiting gangs start where, and which running ones make room for them. A policy may remember
 * what it has set apart for whom; it reads no clock and no random number.
 */
import type { UpstreamView } from '@nettlespur/api.schemas'
import { emptyPlan, type ReservationPlan } from '@nettlespur/placement.plan'
import { FirstFitChooser, ClusterMap, fitGang, type Demand } from '@nettlespur/placement.topology'
import type { PlacementDecision } from './placementDecision.js'
import type { PlacementView } from './placementView.js'

export abstract class PlacementPolicy {
  /** One of `place`, `wait` and `refuse` for each waiting job of the view, besides preemptions. */
  abstract decide(view: PlacementView): PlacementDecision[]

  /** What was kept for guaranteed shapes when the last decisions were taken. */
  get plan(): ReservationPlan {
    return emptyPlan
  }

  /** Whether these upstreams could hold the gang if nothing else ran. */
  canEverFit(demand: Demand, upstreams: readonly UpstreamView[]): boolean {
    return canFitOnEmpty(createEmptyMap(upstreams), demand)
  }
}

/** All upstreams up, and nothing running. */
export function createEmptyMap(upstreams: readonly UpstreamView[]): ClusterMap {
  const emptied = upstreams.map((view): UpstreamView => ({ ...view, state: 'ready' }))
  return new ClusterMap(emptied, [])
}

export function canFitOnEmpty(map: ClusterMap, demand: Demand): boolean {
  return fitGang(map, demand, new FirstFitChooser()) !== undefined
}
