/** Ranks units: guaranteed work first, then by timeliness, priority and latest start. */
import { computeTiming, type Timeliness, type JobTiming } from './jobTiming.js'
import type { SchedulerView } from './schedulerView.js'
import { listUnits, type StartUnit } from './startUnit.js'

const timelinessRank: Readonly<Record<Timeliness, number>> = { 'on-time': 0, late: 1, none: 2 }

export interface RankedUnit extends StartUnit, JobTiming {
  readonly isGuaranteed: boolean
  /** Promoted before units of higher rank; see `promoteOverdueGang`. */
  readonly isOverdue: boolean
  /** The gang may span racks if no single rack can take it. */
  readonly canSpanRacks: boolean
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
      canSpanRacks: false,
    }))
  })
  return ranked.sort(
    (left, right) =>
      Number(right.isGuaranteed) - Number(left.isGuaranteed) ||
      timelinessRank[left.timeliness] - timelinessRank[right.timeliness] ||
      left.job.queue.priority - right.job.queue.priority ||
      left.latestStartMs - right.latestStartMs ||
      left.job.number - right.job.number,
  )
}
