/** Removes victims that turn out not to be needed. */
import type { FitScope } from './fitTracker.js'
import type { VictimGroup } from './listVictimGroups.js'

/**
 * Returns the groups without which `isEnough` is false. The costliest are dropped first; the capacity of dropped
 * groups is taken back from the scope.
 */
export function dropUnneededVictims(
  scope: FitScope,
  victims: readonly VictimGroup[],
  isEnough: () => boolean,
): VictimGroup[] {
  const costliestFirst = [...victims].sort(
    (left, right) => right.costCoreSeconds - left.costCoreSeconds,
  )
  return costliestFirst.filter((group) => {
    scope.adjustFree(group.runs, group.needs, -1)
    if (isEnough()) return false
    scope.adjustFree(group.runs, group.needs, 1)
    return true
  })
}
