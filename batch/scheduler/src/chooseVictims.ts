/**
 * Frees room for a unit that is guaranteed it, by stopping runs of others. Members of a gang are stopped
 * together, as one that is stopped ends the rest; the room of all of them counts.
 */
import { trackScopes, type FitScope } from './fitTracker.js'
import type { VictimGroup } from './listVictimGroups.js'
import type { RoomBook } from './roomBook.js'
import type { StartUnit } from './startUnit.js'

export interface VictimChoice {
  readonly victims: readonly VictimGroup[]
  readonly places: readonly string[]
}

export interface ChooseVictimsOptions {
  unit: StartUnit
  book: RoomBook
  /** What may be stopped, the cheapest for the room it gives first. */
  groups: readonly VictimGroup[]
}

/** The cheapest choice found over the racks; undefined where stopping everything would not do. */
export function chooseVictims({
  unit,
  book,
  groups,
}: ChooseVictimsOptions): VictimChoice | undefined {
  const scopes = trackScopes(unit, book, ({ soon }) => soon)
  const choices = scopes.flatMap((scope) => stopUntilFits(scope, groups) ?? [])
  const [best] = choices.sort((left, right) => costOf(left) - costOf(right))
  return best
}

/** Stops the cheapest until the unit fits, then spares those not needed. */
function stopUntilFits(
  scope: FitScope,
  cheapFirst: readonly VictimGroup[],
): VictimChoice | undefined {
  const stopped: VictimGroup[] = []
  for (const group of cheapFirst) {
    if (scope.fits) break
    if (!group.runs.some(({ upstreamId }) => scope.has(upstreamId))) continue
    stopped.push(group)
    scope.change(group.runs, group.needs, 1)
  }
  if (!scope.fits) return undefined
  const victims = spare(scope, stopped)
  return { victims, places: scope.choosePlaces() }
}

/** The dearest are spared first. */
function spare(scope: FitScope, stopped: readonly VictimGroup[]): VictimGroup[] {
  const dearFirst = [...stopped].sort((left, right) => right.costCoreSeconds - left.costCoreSeconds)
  return dearFirst.filter((group) => {
    scope.change(group.runs, group.needs, -1)
    if (scope.fits) return false
    scope.change(group.runs, group.needs, 1)
    return true
  })
}

/** Of all that the choice stops, in core-seconds. */
function costOf({ victims }: VictimChoice): number {
  return victims.reduce((sum, { costCoreSeconds }) => sum + costCoreSeconds, 0)
}
