/** Tracks which slots of which upstreams this entry may use. */
import type { SlotCandidate } from './upstreamPicker.js'

export abstract class SlotSource {
  /** Counts the upstreams that may be given work, with a free slot or without. */
  abstract countUsable(avoid: ReadonlySet<string>): number
  /** Lists the upstreams with a free slot, except those to avoid. */
  abstract listFree(avoid: ReadonlySet<string>): readonly SlotCandidate[]
  /** Takes one slot and returns the fencing token for its use. */
  abstract take(upstreamId: string): number
  abstract release(upstreamId: string): void
}
