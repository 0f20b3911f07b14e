/**
 * Reserves capacity for a gang that does not fit yet, so that smaller work does not take each piece that becomes
 * free. The reservation begins when enough runs are expected to have ended; tasks that end before that may be
 * backfilled.
 */
import { trackScopes, type FitScope } from './fitTracker.js'
import { addResources } from './resources.js'
import type { RoundAllocations } from './roundAllocations.js'
import type { ActiveRun } from './schedulerView.js'
import type { StartUnit } from './startUnit.js'

export interface ReserveForGangOptions {
  unit: StartUnit
  allocations: RoundAllocations
  /** Sorted by expected end. */
  runs: readonly ActiveRun[]
}

/** Adds the reservation, or does nothing if the gang would not fit even after all runs have ended. */
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
