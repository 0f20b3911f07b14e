/**
 * Tracks whether a unit fits as runs end one after the other. Only upstreams that change are counted again, so the
 * cost of a sequence of ends grows with its runs and not with the number of upstreams.
 */
import type { Resources } from '@nettlespur/batch.model'
import type { Placement } from '@nettlespur/batch.state'
import { fillTightest } from './fillTightest.js'
import { addResources } from './resources.js'
import { countTasksIn, type RoundAllocations } from './roundAllocations.js'
import type { UpstreamAllocation } from './upstreamAllocation.js'
import { listScopes } from './listScopes.js'
import type { StartUnit } from './startUnit.js'

interface TrackedUpstream {
  readonly upstreamId: string
  free: Resources
  count: number
}

/** Upstreams over which the unit may be spread: those of one rack, or all that it may use. */
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

  /** Number of the unit's tasks that do not fit. */
  get unplacedCount(): number {
    return Math.max(0, this.#unit.waiting.length - this.#total)
  }

  /** Returns how many of the unit's tasks fit on the upstream. */
  countOn(upstreamId: string): number {
    return this.#upstreams.get(upstreamId)?.count ?? 0
  }

  has(upstreamId: string): boolean {
    return this.#upstreams.has(upstreamId)
  }

  /** Releases the capacity of the runs, or takes it back if `sign` is -1. */
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

  /** Returns the free capacity of the upstream, or undefined if it is outside the scope. */
  freeOn(upstreamId: string): Resources | undefined {
    return this.#upstreams.get(upstreamId)?.free
  }

  /** Returns an upstream for each task of the unit. Call only if `fits` is true. */
  chooseUpstreams(): string[] {
    return fillTightest([...this.#upstreams.values()], this.#unit.waiting.length)
  }
}

/** Returns the scopes of a unit, with free capacities as given by `freeOf`. */
export function trackScopes(
  unit: StartUnit,
  allocations: RoundAllocations,
  freeOf: (upstream: UpstreamAllocation) => Resources,
): FitScope[] {
  return listScopes(unit, allocations).map((upstreams) => new FitScope(unit, upstreams, freeOf))
}
