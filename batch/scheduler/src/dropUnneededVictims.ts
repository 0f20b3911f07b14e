/** Takes back stops that turn out not to be needed. */
import type { FitScope } from './fitTracker.js'
import type { VictimGroup } from './listVictimGroups.js'

/** Gives the groups that are needed for `isEnough`; the dearest are spared first, and their room is taken again. */
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
