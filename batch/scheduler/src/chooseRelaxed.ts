/** Places a unit with as few preferences relaxed as possible. */
import { chooseUpstreams } from './chooseUpstreams.js'
import { preferences, type Preference } from './preference.js'
import type { RoundAllocations } from './roundAllocations.js'
import type { StartUnit } from './startUnit.js'

export interface RelaxedChoice {
  /** An upstream for each task that can start. */
  readonly upstreamIds: readonly string[]
  /** The last preference that had to be relaxed. */
  readonly relaxed: Preference
}

/** Returns undefined if the unit cannot start even with all the given preferences relaxed. */
export function chooseRelaxed(
  unit: StartUnit,
  allocations: RoundAllocations,
  relaxable: readonly Preference[] = preferences,
): RelaxedChoice | undefined {
  const choose = (relaxed: ReadonlySet<Preference>): readonly string[] =>
    chooseUpstreams({ ...unit, relaxed, isOnTrial: false }, allocations)
  // Each relaxed preference only adds upstreams, so one search tells whether the others are worth while.
  if (choose(new Set(relaxable)).length === 0) return undefined
  const relaxed = new Set(unit.relaxed)
  for (const preference of relaxable) {
    relaxed.add(preference)
    const upstreamIds = choose(relaxed)
    if (upstreamIds.length > 0) return { upstreamIds, relaxed: preference }
  }
  return undefined
}
