/** Placement scopes: groups of upstreams over which a unit may be spread. A gang has to fit within one of them. */
import { countWhenEmpty, type RoundAllocations } from './roundAllocations.js'
import type { UpstreamAllocation } from './upstreamAllocation.js'
import type { StartUnit } from './startUnit.js'

/** Returns the scopes of `listUnrestrictedScopes`, reduced to the upstreams that the unit takes for now. */
export function listScopes(unit: StartUnit, allocations: RoundAllocations): UpstreamAllocation[][] {
  const scopes = listUnrestrictedScopes(unit, allocations)
  const { isAllowed } = unit
  if (isAllowed === undefined) return scopes
  return scopes
    .map((upstreams) => upstreams.filter(isAllowed))
    .filter((upstreams) => canHoldWhenEmpty(unit, upstreams))
}

/**
 * Returns, for a gang that is slow across racks, one scope for each rack that could take it when empty, or all racks
 * as one scope if none could. Other units get one scope of all upstreams that they may use.
 */
function listUnrestrictedScopes(
  unit: StartUnit,
  allocations: RoundAllocations,
): UpstreamAllocation[][] {
  const eligible = preferDataRack(unit, allocations.listEligible(unit))
  if (!prefersOneRack(unit)) return [eligible]
  const fitting = [...groupByRack(eligible).values()].filter((upstreams) =>
    canHoldWhenEmpty(unit, upstreams),
  )
  return fitting.length > 0 ? fitting : [eligible]
}

/** Whether the upstreams could take the whole gang, or at least one task of another unit, if nothing ran there. */
export function canHoldWhenEmpty(
  { step, waiting }: StartUnit,
  upstreams: readonly UpstreamAllocation[],
): boolean {
  const whenEmpty = upstreams.reduce((sum, upstream) => sum + countWhenEmpty(step, upstream), 0)
  return whenEmpty >= (step.isGang ? waiting.length : 1)
}

/** Whether the unit could start if nothing ran. */
export function canFitWhenEmpty(unit: StartUnit, allocations: RoundAllocations): boolean {
  return listScopes(unit, allocations).some((upstreams) => canHoldWhenEmpty(unit, upstreams))
}

function prefersOneRack({ step, relaxed }: StartUnit): boolean {
  return step.isGang && step.prefersOneRack && !relaxed.has('one-rack')
}

/** Other racks are used only if the data rack could never hold the unit: tasks take several times as long there. */
function preferDataRack(unit: StartUnit, eligible: UpstreamAllocation[]): UpstreamAllocation[] {
  const { step, relaxed } = unit
  if (step.dataRack === undefined || relaxed.has('data-rack')) return eligible
  const inDataRack = eligible.filter(({ view }) => view.rack === step.dataRack)
  return canHoldWhenEmpty(unit, inDataRack) ? inDataRack : eligible
}

function groupByRack(upstreams: readonly UpstreamAllocation[]): Map<string, UpstreamAllocation[]> {
  const racks = new Map<string, UpstreamAllocation[]>()
  for (const upstream of upstreams) {
    const { rack } = upstream.view
    const group = racks.get(rack)
    if (group === undefined) racks.set(rack, [upstream])
    else group.push(upstream)
  }
  return racks
}
