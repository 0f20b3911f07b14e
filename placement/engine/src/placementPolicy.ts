/** Decides which waiting gangs start where. Pure: equal views give equal decisions. */
import type { UpstreamView } from '@nettlespur/api.schemas'
import type { Block, Demand, PlacementView } from './placementView.js'

export interface PlaceDecision {
  readonly kind: 'place'
  readonly jobId: string
  readonly blocks: readonly Block[]
  readonly reason: string
}

export interface WaitDecision {
  readonly kind: 'wait'
  readonly jobId: string
  /** What the job waits for, in plain words. */
  readonly reason: string
}

/** One for each waiting job of the view. */
export type PlacementDecision = PlaceDecision | WaitDecision

export abstract class PlacementPolicy {
  abstract decide(view: PlacementView): PlacementDecision[]
  /** Whether these upstreams could hold the gang if nothing else ran. */
  abstract canEverFit(demand: Demand, upstreams: readonly UpstreamView[]): boolean
}
