/**
 * Frees room for a unit that is guaranteed it, by stopping runs of others. Members of a gang are stopped
 * together, as one that is stopped ends the rest; the room of all of them counts.
 */
import type { Resources } from '@nettlespur/batch.model'
import { runKey } from '@nettlespur/batch.model'
import type { Placement } from '@nettlespur/batch.state'
import { choosePlaces } from './choosePlaces.js'
import { RoomBook } from './roomBook.js'
import type { StartUnit } from './startUnit.js'

/** Runs that can only be stopped together. */
export interface VictimGroup {
  readonly runs: readonly Placement[]
  readonly needs: Resources
  /** What a stop throws away, urgent work counted more. */
  readonly costCoreSeconds: number
}

export interface VictimChoice {
  readonly victims: readonly VictimGroup[]
  readonly places: readonly string[]
}

export interface ChooseVictimsOptions {
  unit: StartUnit
  book: RoomBook
  /** What may be stopped, in any order. */
  groups: readonly VictimGroup[]
}

/** The cheapest choice found over the racks; undefined where stopping everything would not do. */
export function chooseVictims(opts: ChooseVictimsOptions): VictimChoice | undefined {
  const { unit, book, groups } = opts
  const racks = unit.step.prefersOneRack ? listRacks(book) : [undefined]
  const choices = racks.flatMap((rack) => {
    const useful =
      rack === undefined ? groups : groups.filter((group) => touches(group, book, rack))
    return stopUntilFits({ unit, book, groups: useful }) ?? []
  })
  const [best] = choices.sort((left, right) => costOf(left) - costOf(right))
  return best ?? (racks.length > 1 ? stopUntilFits(opts) : undefined)
}

/** Stops the cheapest for the room it gives until the unit fits, then spares those not needed. */
function stopUntilFits({ unit, book, groups }: ChooseVictimsOptions): VictimChoice | undefined {
  const cheapFirst = [...groups].sort((left, right) => priceOf(left) - priceOf(right))
  const stopped: VictimGroup[] = []
  let places = placesAfter(unit, book, stopped)
  for (const group of cheapFirst) {
    if (places.length >= unit.waiting.length) break
    stopped.push(group)
    places = placesAfter(unit, book, stopped)
  }
  if (places.length < unit.waiting.length) return undefined
  const victims = spare(unit, book, stopped)
  return { victims, places: placesAfter(unit, book, victims) }
}

/** The dearest are spared first. */
function spare(unit: StartUnit, book: RoomBook, stopped: readonly VictimGroup[]): VictimGroup[] {
  let kept = [...stopped]
  const dearFirst = [...stopped].sort((left, right) => right.costCoreSeconds - left.costCoreSeconds)
  for (const group of dearFirst) {
    const without = kept.filter((other) => other !== group)
    if (placesAfter(unit, book, without).length >= unit.waiting.length) kept = without
  }
  return kept
}

function placesAfter(unit: StartUnit, book: RoomBook, stopped: readonly VictimGroup[]): string[] {
  const trial = new RoomBook(
    book.rooms.map(({ room, free, soon }) => ({ ...room, free, soon })),
    book.nowMs,
  )
  for (const { runs, needs } of stopped) {
    for (const { upstreamId } of runs) trial.giveBackSoon(upstreamId, needs)
  }
  return choosePlaces(unit, trial, 'soon')
}

function listRacks({ rooms }: RoomBook): string[] {
  return [...new Set(rooms.map(({ room }) => room.rack))]
}

function touches({ runs }: VictimGroup, book: RoomBook, rack: string): boolean {
  return runs.some(({ upstreamId }) => book.find(upstreamId)?.room.rack === rack)
}

/** Cost for each accelerator that comes free. */
function priceOf({ runs, needs, costCoreSeconds }: VictimGroup): number {
  return costCoreSeconds / Math.max(1, runs.length * needs.accelerators)
}

/** Of all that the choice stops, in core-seconds. */
function costOf({ victims }: VictimChoice): number {
  return victims.reduce((sum, { costCoreSeconds }) => sum + costCoreSeconds, 0)
}

/** Names a group: the gang's attempt, or the single run. */
export function groupKey(run: Placement, isGang: boolean): string {
  return isGang ? `${run.jobId}/${run.step}#${run.attempt}` : runKey(run)
}
