/**
 * Placement preferences: soft constraints for which a unit is left waiting although some upstream could take it. The
 * constraints that always hold, such as a required label, are not among them.
 */

/** In the order in which they are relaxed: each is relaxed only if relaxing those before it was not enough. */
export const preferences = [
  /** Tasks run where their data is; elsewhere they take several times as long. */
  'data-rack',
  /** A gang that is slow across racks runs in one. */
  'one-rack',
  /** Capacity reserved for the overdue gang is left to it. */
  'reservation',
  /** Tasks do not run on upstreams that have lately failed or hidden the runs of others. */
  'healthy-upstream',
  /** A task does not run again on an upstream on which it has failed. */
  'untried-upstream',
] as const
export type Preference = (typeof preferences)[number]

/** Those among them that say only how fast a unit runs where it is placed. */
export const placementPreferences: readonly Preference[] = ['data-rack', 'one-rack']

/** Those that end with the usefulness of the unit itself; a reservation ends as the gang starts that it is for. */
export const ownPreferences: readonly Preference[] = preferences.filter(
  (preference) => preference !== 'reservation',
)

export const noRelaxedPreferences: ReadonlySet<Preference> = new Set()
