/** Ranks the units that may start now; see `compareJobRanks`. */
import { compareJobRanks, type JobRank } from './jobRank.js'
import { computeTiming, type JobTiming } from './jobTiming.js'
import type { SchedulerView } from './schedulerView.js'
import { listUnits, type StartUnit } from './startUnit.js'

export interface RankedUnit extends StartUnit, JobTiming, JobRank {
  /** Promoted before units of higher rank; see `promoteOverdueGang`. */
  readonly isOverdue: boolean
}

export function orderUnits(view: SchedulerView, guaranteed: ReadonlySet<string>): RankedUnit[] {
  const ranked = view.jobs.flatMap((job) => {
    const { jobId } = job.request
    const units = listUnits(job, view)
    if (units.length === 0) return []
    const acceptedAtMs = view.acceptedAtMs.get(jobId) ?? view.nowMs
    const timing = computeTiming(job, acceptedAtMs, view.nowMs)
    const isGuaranteed = guaranteed.has(jobId)
    return units.map((unit) => ({
      ...unit,
      ...timing,
      isGuaranteed,
      isOverdue: false,
    }))
  })
  return ranked.sort(compareJobRanks)
}
