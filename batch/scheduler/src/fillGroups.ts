/** Assigns the tasks of a unit to upstreams, group by group in the order of the unit's preference. */
import { addAll } from '@nettlespur/core.lists'
import { fillTightest, type UpstreamFit } from './fillTightest.js'
import type { UpstreamAllocation } from './upstreamAllocation.js'
import type { UpstreamGroup } from './upstreamGroup.js'

export interface AllocationFit extends UpstreamFit {
  readonly allocation: UpstreamAllocation
}

/** Upstreams over which a unit may be spread. */
export interface ScopeFit {
  readonly upstreams: readonly AllocationFit[]
  /** Number of tasks that fit. */
  readonly total: number
}

export interface FillGroupsOptions {
  scope: ScopeFit
  groups: readonly UpstreamGroup[]
  /** Whether each upstream of the first group gets only one task at first. */
  isSpread: boolean
  wanted: number
}

/** Returns an upstream for each task that fits: those of the first group, then those of the second, and so on. */
export function fillGroups({ scope, groups, isSpread, wanted }: FillGroupsOptions): string[] {
  let left = scope.upstreams.filter(({ count }) => count > 0)
  const upstreamIds: string[] = []
  for (const [at, isMember] of groups.entries()) {
    if (upstreamIds.length >= wanted || left.length === 0) break
    const isSpreadHere = isSpread && at === 0
    const members = left.filter(({ allocation }) => isMember(allocation))
    const offered = isSpreadHere ? members.map((fit) => ({ ...fit, count: 1 })) : members
    addAll(upstreamIds, fillTightest(offered, wanted - upstreamIds.length))
    left = isSpreadHere
      ? left.map((fit) => (isMember(fit.allocation) ? { ...fit, count: fit.count - 1 } : fit))
      : left.filter(({ allocation }) => !isMember(allocation))
  }
  return upstreamIds
}

/** Returns an upstream for each member of a gang, all of one scope and one group; an empty list if none has room. */
export function fillGangGroups(
  scopes: readonly ScopeFit[],
  groups: readonly UpstreamGroup[],
  wanted: number,
): string[] {
  const roomy = scopes.filter(({ total }) => total >= wanted)
  if (roomy.length === 0) return []
  for (const isMember of groups) {
    const [tightest] = roomy
      .map(({ upstreams }) => sumFits(upstreams.filter(({ allocation }) => isMember(allocation))))
      .filter(({ total }) => total >= wanted)
      .sort((left, right) => left.total - right.total)
    if (tightest !== undefined) return fillTightest(tightest.upstreams, wanted)
  }
  return []
}

export function sumFits(upstreams: readonly AllocationFit[]): ScopeFit {
  return { upstreams, total: upstreams.reduce((sum, { count }) => sum + count, 0) }
}
