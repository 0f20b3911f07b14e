/** Ranks the units that may start now; see `compareJobRanks`. */
import { compareJobRanks, rankJob, type JobRank } from './jobRank.js'
import type { SchedulerView } from './schedulerView.js'
import { listUnits, type StartUnit } from './startUnit.js'

export interface RankedUnit extends StartUnit, JobRank {
  /** Promoted before units of higher rank; see `promoteOverdueGang`. */
  readonly isOverdue: boolean
}

export function orderUnits(view: SchedulerView, guaranteed: ReadonlySet<string>): RankedUnit[] {
  const ranked = view.jobs.flatMap((job) => {
    const units = listUnits(job, view)
    if (units.length === 0) return []
    const rank = rankJob(job, view, guaranteed.has(job.request.jobId))
    return units.map((unit) => ({ ...unit, ...rank, isOverdue: false }))
  })
  return ranked.sort(compareJobRanks)
}
