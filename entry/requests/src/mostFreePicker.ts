/** Picks the upstream with the most free slots; among equals, the least recently picked one. */
import { UpstreamPicker, type PickedUpstream, type SlotCandidate } from './upstreamPicker.js'

export class MostFreePicker extends UpstreamPicker {
  readonly #lastPicked = new Map<string, number>()
  #picks = 0

  override pick(candidates: readonly SlotCandidate[]): PickedUpstream | undefined {
    let best: SlotCandidate | undefined
    for (const candidate of candidates) {
      if (best === undefined || this.#isBetter(candidate, best)) best = candidate
    }
    if (best === undefined) return undefined
    this.#lastPicked.set(best.upstream.upstreamId, ++this.#picks)
    return { upstream: best.upstream, reason: `most free slots: ${best.freeSlots}` }
  }

  #isBetter(left: SlotCandidate, right: SlotCandidate): boolean {
    if (left.freeSlots !== right.freeSlots) return left.freeSlots > right.freeSlots
    return this.#age(left) < this.#age(right)
  }

  #age(candidate: SlotCandidate): number {
    return this.#lastPicked.get(candidate.upstream.upstreamId) ?? 0
  }
}
