/**
 * Shares the slots of each upstream equally between the live entries, rounded up. Because of the rounding,
 * two entries may use an upstream's last slot at the same time; the upstream then refuses one of the two
 * requests, which is retried on another upstream.
 */
import type { ClusterView } from '@nettlespur/entry.view'
import { SlotSource } from './slotSource.js'
import type { SlotCandidate } from './upstreamPicker.js'

export class EqualShareSlots extends SlotSource {
  readonly #view: ClusterView
  readonly #used = new Map<string, number>()
  #fence = 0

  constructor(view: ClusterView) {
    super()
    this.#view = view
  }

  override countUsable(avoid: ReadonlySet<string>): number {
    return this.#listUsable(avoid).length
  }

  override listFree(avoid: ReadonlySet<string>): readonly SlotCandidate[] {
    return this.#listUsable(avoid)
      .map((upstream) => ({ upstream, freeSlots: this.#countFree(upstream) }))
      .filter((candidate) => candidate.freeSlots > 0)
  }

  override take(upstreamId: string): number {
    this.#used.set(upstreamId, (this.#used.get(upstreamId) ?? 0) + 1)
    this.#fence += 1
    return this.#fence
  }

  override release(upstreamId: string): void {
    const used = (this.#used.get(upstreamId) ?? 0) - 1
    if (used > 0) this.#used.set(upstreamId, used)
    else this.#used.delete(upstreamId)
  }

  #listUsable(avoid: ReadonlySet<string>) {
    return [...this.#view.upstreams.value.values()].filter(
      (upstream) =>
        upstream.state === 'ready' && upstream.slots > 0 && !avoid.has(upstream.upstreamId),
    )
  }

  #countFree(upstream: { upstreamId: string; slots: number }): number {
    const entries = Math.max(1, this.#view.entries.value.length)
    return Math.ceil(upstream.slots / entries) - (this.#used.get(upstream.upstreamId) ?? 0)
  }
}
