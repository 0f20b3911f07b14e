/**
 * Keeps room for a gang that does not fit yet, so that smaller work does not take each piece that comes
 * free. The earliest time is sought at which it fits as runs are expected to end; what ends before that time
 * may still start there.
 */
import { trackScopes, type FitScope } from './fitTracker.js'
import { addResources } from './resources.js'
import type { RoomBook } from './roomBook.js'
import type { ActiveRun } from './schedulerView.js'
import type { StartUnit } from './startUnit.js'

export interface ReserveGangOptions {
  unit: StartUnit
  book: RoomBook
  /** Sorted by their expected ends. */
  runs: readonly ActiveRun[]
}

/** Books the room; nothing where the gang would not fit even without all that runs. */
export function reserveGang({ unit, book, runs }: ReserveGangOptions): void {
  const scopes = trackScopes(unit, book, ({ soon }) => soon)
  let scope = scopes.find(({ fits }) => fits)
  let fromMs = book.nowMs
  for (const { placement, needs, isStopping, expectedEndMs } of runs) {
    if (scope !== undefined) break
    if (isStopping) continue
    const changed = scopes.find((one) => one.has(placement.upstreamId))
    changed?.change([placement], needs, 1)
    if (changed?.fits === true) scope = changed
    fromMs = expectedEndMs
  }
  if (scope !== undefined) keep({ unit, book, scope, fromMs })
}

interface KeepOptions {
  unit: StartUnit
  book: RoomBook
  scope: FitScope
  fromMs: number
}

function keep({ unit, book, scope, fromMs }: KeepOptions): void {
  const places = scope.choosePlaces()
  for (const upstreamId of new Set(places)) {
    const then = scope.leftOf(upstreamId)
    if (then === undefined) continue
    const count = places.filter((place) => place === upstreamId).length
    book.find(upstreamId)?.later.push({ fromMs, left: addResources(then, unit.step.needs, -count) })
  }
}
