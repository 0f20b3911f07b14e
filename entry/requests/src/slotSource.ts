/** Which slots of which upstreams this entry may fill. */
import type { SlotCandidate } from './upstreamPicker.js'

export abstract class SlotSource {
  /** Upstreams that may be given work at all, free or not. */
  abstract countUsable(avoid: ReadonlySet<string>): number
  /** Upstreams with a free slot, other than those to avoid. */
  abstract listFree(avoid: ReadonlySet<string>): readonly SlotCandidate[]
  /** Takes one slot and gives the fence to use it under. */
  abstract take(upstreamId: string): number
  abstract release(upstreamId: string): void
}
