/**
 * Chooses upstreams for the tasks of a unit: the tightest fit, which keeps whole upstreams and racks free for large
 * gangs, and a single rack for gangs that are slow across racks. Groups of upstreams that the unit prefers are tried in
 * order (see `listGroups`). Urgent work runs on cold upstreams only if the warm ones cannot take it now.
 */
import { fillGangGroups, fillGroups, sumFits, type ScopeFit } from './fillGroups.js'
import { fillEmptiest, fillTightest } from './fillTightest.js'
import { listScopes } from './listScopes.js'
import type { RoundAllocations } from './roundAllocations.js'
import type { StartUnit } from './startUnit.js'
import type { UpstreamAllocation } from './upstreamAllocation.js'
import { urgentPriority } from './urgentPriority.js'

/**
 * Returns an upstream for each task, in the order of the waiting tasks: for all tasks of a gang, otherwise for as
 * many as fit. Returns an empty list if nothing can start.
 */
export function chooseUpstreams(unit: StartUnit, allocations: RoundAllocations): string[] {
  if (unit.job.queue.priority === urgentPriority && allocations.hasCold) {
    const warm = chooseAmong(unit, allocations, ({ view }) => !view.isCold)
    if (warm.length === unit.waiting.length) return warm
  }
  return chooseAmong(unit, allocations, () => true)
}

function chooseAmong(
  unit: StartUnit,
  allocations: RoundAllocations,
  isAllowed: (upstream: UpstreamAllocation) => boolean,
): string[] {
  const wanted = unit.waiting.length
  const fill = unit.isOnTrial ? fillEmptiest : fillTightest
  if (!allocations.hasEnoughAccelerators(unit.step, unit.step.isGang ? wanted : 1)) return []
  const scopes = listScopes(unit, allocations).map((upstreams) =>
    countScopeFit(unit, allocations, upstreams.filter(isAllowed)),
  )
  const { groups, isSpread = false } = unit
  if (groups !== undefined && !unit.isOnTrial) {
    return unit.step.isGang
      ? fillGangGroups(scopes, groups, wanted)
      : scopes.flatMap((scope) => fillGroups({ scope, groups, isSpread, wanted }))
  }
  if (!unit.step.isGang) return scopes.flatMap(({ upstreams }) => fill(upstreams, wanted))
  const fitting = scopes.filter(({ total }) => total >= wanted)
  const [tightest] = fitting.sort((left, right) => left.total - right.total)
  return tightest === undefined ? [] : fill(tightest.upstreams, wanted)
}

function countScopeFit(
  unit: StartUnit,
  allocations: RoundAllocations,
  upstreams: readonly UpstreamAllocation[],
): ScopeFit {
  return sumFits(
    upstreams.map((allocation) => ({
      upstreamId: allocation.upstreamId,
      allocation,
      free: allocation.free,
      count: allocations.countTasks(unit, allocation),
    })),
  )
}
