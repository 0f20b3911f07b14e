/**
 * Watches for jobs that callers would find delayed without need, independently of what the scheduler counts: nothing of
 * the job runs, less than half of the accelerators are in use, and the upstreams have room for the job twice over.
 */
import { isStepDone, listPlacements, type JobRecord } from '@nettlespur/batch.state'
import { addResources, countFitting, noResources } from '../src/index.js'
import type { Fleet } from './fleet.js'

/** What callers accept. */
export const delayMaxMs = 3000
const usedShareMax = 0.5
const capacityFactor = 2

export class DelayWatch {
  /** Ids of jobs that were delayed for `delayMaxMs`. */
  readonly delayed = new Set<string>()
  readonly #sinceMs = new Map<string, number>()

  /** Call it after each round. */
  note(fleet: Fleet): void {
    for (const [jobId, job] of fleet.state.unsettled) {
      if (!isDelayed(job, fleet)) {
        this.#sinceMs.delete(jobId)
        continue
      }
      const sinceMs = this.#sinceMs.get(jobId) ?? fleet.nowMs
      this.#sinceMs.set(jobId, sinceMs)
      if (fleet.nowMs - sinceMs >= delayMaxMs) this.delayed.add(jobId)
    }
  }
}

function isDelayed(job: JobRecord, { state }: Fleet): boolean {
  if (job.status !== 'active' || listPlacements(job).length > 0) return false
  const at = job.steps.findIndex((record) => !isStepDone(record))
  const step = job.request.steps[at]
  if (step === undefined) return false
  const free = [...state.upstreams.values()].map(({ description: { upstreamId, capacity } }) => {
    const placed = [...state.placements.getByUpstream(upstreamId).values()]
    const used = placed.reduce((sum, run) => {
      const needs = state.jobs.get(run.jobId)?.request.steps[run.step]?.needs ?? noResources
      return addResources(sum, needs)
    }, noResources)
    return { free: addResources(capacity, used, -1), capacity, used }
  })
  const used = free.reduce((sum, one) => sum + one.used.accelerators, 0)
  const capacity = free.reduce((sum, one) => sum + one.capacity.accelerators, 0)
  const fitting = free.reduce((sum, one) => sum + countFitting(one.free, step.needs), 0)
  const wanted = step.isGang ? step.taskCount : 1
  return used < capacity * usedShareMax && fitting >= wanted * capacityFactor
}
