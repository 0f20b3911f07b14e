/**
 * Keeps room for a gang that does not fit yet, so that smaller work does not take each piece that comes
 * free. The earliest time is sought at which it fits as runs are expected to end; what ends before that time
 * may still start there.
 */
import { trackScopes, type FitScope } from './fitTracker.js'
import { addResources } from './resources.js'
import type { RoundAllocations } from './roundAllocations.js'
import type { ActiveRun } from './schedulerView.js'
import type { StartUnit } from './startUnit.js'

export interface ReserveForGangOptions {
  unit: StartUnit
  allocations: RoundAllocations
  /** Sorted by their expected ends. */
  runs: readonly ActiveRun[]
}

/** Books the room; nothing where the gang would not fit even without all that runs. */
export function reserveForGang({ unit, allocations, runs }: ReserveForGangOptions): void {
  const scopes = trackScopes(unit, allocations, ({ freeAfterStops }) => freeAfterStops)
  let scope = scopes.find(({ fits }) => fits)
  let fromMs = allocations.nowMs
  for (const { placement, needs, isStopping, expectedEndMs } of runs) {
    if (scope !== undefined) break
    if (isStopping) continue
    const changed = scopes.find((one) => one.has(placement.upstreamId))
    changed?.adjustFree([placement], needs, 1)
    if (changed?.fits === true) scope = changed
    fromMs = expectedEndMs
  }
  if (scope !== undefined) recordReservations({ unit, allocations, scope, fromMs })
}

interface RecordReservationsOptions {
  unit: StartUnit
  allocations: RoundAllocations
  scope: FitScope
  fromMs: number
}

function recordReservations({ unit, allocations, scope, fromMs }: RecordReservationsOptions): void {
  const upstreamIds = scope.chooseUpstreams()
  for (const upstreamId of new Set(upstreamIds)) {
    const free = scope.freeOn(upstreamId)
    if (free === undefined) continue
    const count = upstreamIds.filter((other) => other === upstreamId).length
    allocations
      .find(upstreamId)
      ?.reservations.push({ fromMs, free: addResources(free, unit.step.needs, -count) })
  }
}
