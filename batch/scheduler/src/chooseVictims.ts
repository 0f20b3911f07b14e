/**
 * Frees room for a unit by stopping runs of others. Room is freed upstream by upstream, the cheapest for each task
 * of the unit first: cheap runs that are spread over many upstreams free accelerators, but no place for a task
 * that needs several of them side by side. Members of a gang are stopped together, as one that is stopped ends
 * the rest; the room of all of them counts.
 */
import { RoomFreeing } from './roomFreeing.js'
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
  /** What may be thrown away for the unit. */
  costMaxCoreSeconds: number
}

/** The cheapest choice found over the racks; undefined where stopping everything would not do. */
export function chooseVictims({
  unit,
  book,
  groups,
  costMaxCoreSeconds,
}: ChooseVictimsOptions): VictimChoice | undefined {
  const scopes = trackScopes(unit, book, ({ soon }) => soon)
  const choices = scopes.flatMap((scope) => stopUntilFits(scope, groups) ?? [])
  const [best] = choices.sort((left, right) => sumCost(left.victims) - sumCost(right.victims))
  return best !== undefined && sumCost(best.victims) <= costMaxCoreSeconds ? best : undefined
}

/** Stops what is cheapest until the unit fits, then spares what is not needed after all. */
function stopUntilFits(scope: FitScope, groups: readonly VictimGroup[]): VictimChoice | undefined {
  const freeing = new RoomFreeing(scope, groups)
  const stopped: VictimGroup[] = []
  while (!scope.fits) {
    const cheapest = freeing.takeCheapest()
    if (cheapest === undefined) return undefined
    stopped.push(...cheapest)
  }
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

/** Of all that is stopped, in core-seconds. */
export function sumCost(victims: readonly VictimGroup[]): number {
  return victims.reduce((sum, { costCoreSeconds }) => sum + costCoreSeconds, 0)
}
