/**
 * Follows whether a unit fits as runs end one after the other. Only the room that changes is counted again, so
 * that a whole sequence of ends costs what its runs cost, however many upstreams there are.
 */
import type { Resources } from '@nettlespur/batch.model'
import type { Placement } from '@nettlespur/batch.state'
import { fillTightest } from './fillTightest.js'
import { addResources } from './resources.js'
import { countTasksIn, type UpstreamAllocation, type RoundAllocations } from './roundAllocations.js'
import { listScopes } from './listScopes.js'
import type { StartUnit } from './startUnit.js'

interface TrackedUpstream {
  readonly upstreamId: string
  free: Resources
  count: number
}

/** Upstreams that can take the unit together: those of one rack, or all that it may use. */
export class FitScope {
  readonly #unit: StartUnit
  readonly #upstreams: ReadonlyMap<string, TrackedUpstream>
  #total = 0

  constructor(
    unit: StartUnit,
    upstreams: readonly UpstreamAllocation[],
    freeOf: (upstream: UpstreamAllocation) => Resources,
  ) {
    this.#unit = unit
    const tracked = upstreams.map((upstream) => {
      const free = freeOf(upstream)
      const count = countTasksIn(unit, upstream.upstreamId, free)
      this.#total += count
      return { upstreamId: upstream.upstreamId, free, count }
    })
    this.#upstreams = new Map(tracked.map((upstream) => [upstream.upstreamId, upstream]))
  }

  get fits(): boolean {
    return this.unplacedCount === 0
  }

  /** Tasks of the unit that find no place. */
  get unplacedCount(): number {
    return Math.max(0, this.#unit.waiting.length - this.#total)
  }

  /** Tasks of the unit that fit on one upstream. */
  countOn(upstreamId: string): number {
    return this.#upstreams.get(upstreamId)?.count ?? 0
  }

  has(upstreamId: string): boolean {
    return this.#upstreams.has(upstreamId)
  }

  /** Gives the room of runs back, or with `times` -1 takes it again. */
  adjustFree(runs: readonly Placement[], needs: Resources, sign: 1 | -1): void {
    for (const { upstreamId } of runs) {
      const upstream = this.#upstreams.get(upstreamId)
      if (upstream === undefined) continue
      upstream.free = addResources(upstream.free, needs, sign)
      this.#total -= upstream.count
      upstream.count = countTasksIn(this.#unit, upstreamId, upstream.free)
      this.#total += upstream.count
    }
  }

  /** What is left of an upstream's room; undefined outside the scope. */
  freeOn(upstreamId: string): Resources | undefined {
    return this.#upstreams.get(upstreamId)?.free
  }

  /** An upstream for each task of the unit. To be called where it fits. */
  chooseUpstreams(): string[] {
    return fillTightest([...this.#upstreams.values()], this.#unit.waiting.length)
  }
}

/** The scopes of a unit, with the room that `roomOf` says. */
export function trackScopes(
  unit: StartUnit,
  allocations: RoundAllocations,
  freeOf: (upstream: UpstreamAllocation) => Resources,
): FitScope[] {
  return listScopes(unit, allocations).map((upstreams) => new FitScope(unit, upstreams, freeOf))
}
