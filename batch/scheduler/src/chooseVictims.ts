/**
 * Frees room for a unit by stopping runs of others. Room is freed upstream by upstream, the cheapest for each task
 * of the unit first: cheap runs that are spread over many upstreams free accelerators, but no place for a task
 * that needs several of them side by side. Members of a gang are stopped together, as one that is stopped ends
 * the rest; the room of all of them counts.
 */
import { trackScopes, type FitScope } from './fitTracker.js'
import { sumCost, type VictimGroup } from './listVictimGroups.js'
import type { RoomBook } from './roomBook.js'
import { RoomFreeing } from './roomFreeing.js'
import { spareDearest } from './spareDearest.js'
import type { StartUnit } from './startUnit.js'
import type { VictimIndex } from './victimIndex.js'

export interface VictimChoice {
  readonly victims: readonly VictimGroup[]
  readonly places: readonly string[]
}

export interface ChooseVictimsOptions {
  unit: StartUnit
  book: RoomBook
  /** What may be stopped. */
  victims: VictimIndex
  /** What may be thrown away for the unit. */
  costMaxCoreSeconds: number
}

/** The cheapest choice found over the racks; undefined where stopping everything would not do. */
export function chooseVictims({
  unit,
  book,
  victims,
  costMaxCoreSeconds,
}: ChooseVictimsOptions): VictimChoice | undefined {
  const scopes = trackScopes(unit, book, ({ soon }) => soon)
  const choices = scopes.flatMap((scope) => stopUntilFits(scope, victims) ?? [])
  const [best] = choices.sort((left, right) => sumCost(left.victims) - sumCost(right.victims))
  return best !== undefined && sumCost(best.victims) <= costMaxCoreSeconds ? best : undefined
}

/** Stops what is cheapest until the unit fits, then spares what is not needed after all. */
function stopUntilFits(scope: FitScope, from: VictimIndex): VictimChoice | undefined {
  const freeing = new RoomFreeing(scope, from)
  const stopped: VictimGroup[] = []
  while (!scope.fits) {
    const cheapest = freeing.takeCheapest()
    if (cheapest === undefined) return undefined
    stopped.push(...cheapest)
  }
  const victims = spareDearest(scope, stopped, () => scope.fits)
  return { victims, places: scope.choosePlaces() }
}
