/** What a deployment's users count, and how much: shares of what they weigh, and the price of work thrown away. */

/** Weights of the parts of a day's worth. */
export interface Goal {
  /** Of all that jobs earn. */
  readonly wholeDay: number
  /** Of the two spans of arrivals that earn least. */
  readonly worstWindows: number
  readonly worstKind: number
  readonly worstWorkspace: number
  /** Of the share of jobs that earn something at all, counted on a log scale. */
  readonly servedInNines: number
  /** Of each core-second thrown away, in the unit of a job's worth. */
  readonly wastePrice: number
}

/** Crews wait for whole days of reports. */
export const crewsGoal: Goal = {
  wholeDay: 0.75,
  worstWindows: 0.15,
  worstKind: 0.1,
  worstWorkspace: 0.2,
  servedInNines: 0,
  wastePrice: 0.0018,
}

/** Offices ask all at once before a month closes. */
export const officesGoal: Goal = {
  wholeDay: 0.35,
  worstWindows: 0.5,
  worstKind: 0.15,
  worstWorkspace: 0.2,
  servedInNines: 0,
  wastePrice: 0.0016,
}

/** Nobody may be left out. */
export const depotsGoal: Goal = {
  wholeDay: 0.4,
  worstWindows: 0.15,
  worstKind: 0.1,
  worstWorkspace: 0.2,
  servedInNines: 0.35,
  wastePrice: 0.0011,
}

/** Rosters and builds: the weight of the worst data centre is left out, as jobs of the bench do not belong to one. */
export const rostersGoal: Goal = {
  wholeDay: 0.4,
  worstWindows: 0.1,
  worstKind: 0.3,
  worstWorkspace: 0.2,
  servedInNines: 0,
  wastePrice: 0.00043,
}

export const buildsGoal: Goal = {
  wholeDay: 0.75,
  worstWindows: 0.15,
  worstKind: 0.1,
  worstWorkspace: 0.2,
  servedInNines: 0,
  wastePrice: 0.00076,
}
