/** Which of the upstreams with a free slot gets the next request. */
import type { UpstreamView } from '@nettlespur/api.schemas'

/** A ready upstream with at least one slot free for this entry. */
export interface SlotCandidate {
  readonly upstream: UpstreamView
  readonly freeSlots: number
}

export interface PickedUpstream {
  readonly upstream: UpstreamView
  /** Why this one, for the decision's log line. */
  readonly reason: string
}

export abstract class UpstreamPicker {
  /** Undefined where there is no candidate. */
  abstract pick(candidates: readonly SlotCandidate[]): PickedUpstream | undefined
}
