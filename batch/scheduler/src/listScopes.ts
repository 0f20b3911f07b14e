/** The groups of upstreams of which one has to take a unit alone. */
import {
  countWhenEmpty,
  type UpstreamAllocation,
  type RoundAllocations,
} from './roundAllocations.js'
import type { StartUnit } from './startUnit.js'

/**
 * For a gang that is slow across racks each rack that could take it when empty; all racks together only where
 * none could. For others one group of all upstreams that they may use.
 */
export function listScopes(unit: StartUnit, allocations: RoundAllocations): UpstreamAllocation[][] {
  const eligible = preferDataRack(unit, allocations.listEligible(unit))
  if (!unit.step.isGang || !unit.step.prefersOneRack) return [eligible]
  const fitting = [...groupByRack(eligible).values()].filter((upstreams) => {
    const whenEmpty = upstreams.reduce(
      (sum, upstream) => sum + countWhenEmpty(unit.step, upstream),
      0,
    )
    return whenEmpty >= unit.waiting.length
  })
  return fitting.length > 0 ? fitting : [eligible]
}

/** Elsewhere the tasks would take several times as long: that is left for when the rack is gone. */
function preferDataRack({ step }: StartUnit, eligible: UpstreamAllocation[]): UpstreamAllocation[] {
  if (step.dataRack === undefined) return eligible
  const inDataRack = eligible.filter(({ view }) => view.rack === step.dataRack)
  return inDataRack.length > 0 ? inDataRack : eligible
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
