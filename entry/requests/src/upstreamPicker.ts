/** Chooses the upstream for the next request from those with a free slot. */
import type { UpstreamView } from '@nettlespur/api.schemas'

/** A ready upstream with at least one slot free for this entry. */
export interface SlotCandidate {
  readonly upstream: UpstreamView
  readonly freeSlots: number
}

export interface PickedUpstream {
  readonly upstream: UpstreamView
  /** Why this upstream was picked, for the log line. */
  readonly reason: string
}

export abstract class UpstreamPicker {
  /** Returns undefined if no candidate can be picked. */
  abstract pick(candidates: readonly SlotCandidate[]): PickedUpstream | undefined
}
