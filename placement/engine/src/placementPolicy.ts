/** Decides which waiting gangs start where. Pure: equal views give equal decisions. */
import type { UpstreamView } from '@nettlespur/api.schemas'
import type { PlacementDecision } from './placementDecision.js'
import type { Demand, PlacementView } from './placementView.js'

export abstract class PlacementPolicy {
  /** One of `place`, `wait` and `refuse` for each waiting job of the view, besides preemptions. */
  abstract decide(view: PlacementView): PlacementDecision[]
  /** Whether these upstreams could hold the gang if nothing else ran. */
  abstract canEverFit(demand: Demand, upstreams: readonly UpstreamView[]): boolean
}
