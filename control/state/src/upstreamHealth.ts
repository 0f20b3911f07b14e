/**
 * Distinguishes faulty upstreams, on which every job fails, from faulty jobs, which fail on every upstream.
 * A job's first fast failure marks the upstream it ran on. If the job then fails on another upstream too, the
 * fault is the job's and the mark is removed. Marks by several jobs without a success in between quarantine
 * the upstream. After a pause the upstream is probed; each success doubles the number of gangs it may hold,
 * until the quarantine ends.
 */
import { addMs } from './addMs.js'
import type { TaskFailure } from './command.js'
import type { JobRecord } from './jobRecord.js'
import type { StateData } from './stateData.js'
import type { Quarantine, UpstreamHealth } from './upstreamHealthRecord.js'

/** Number of distinct jobs whose marks quarantine an upstream. */
export const quarantineMarkCount = 3
/** The quarantine ends when a success would raise the admitted gangs above this number. */
const admittedGangsMax = 4
const initialPauseMs = 10_000
const longestPauseMs = 600_000

/** The fields of a command that ends an attempt. */
interface AttemptEnd {
  readonly at: string
  readonly failure?: TaskFailure | undefined
}

/** Returns the upstreams on which tasks of the job have failed, including that of `failure`. */
export function listFailedUpstreams(job: JobRecord, failure: TaskFailure | undefined): string[] {
  const known = job.failedUpstreamIds
  if (failure === undefined || known.includes(failure.upstreamId)) return known
  return [...known, failure.upstreamId]
}

export function recordTaskFailure(
  data: StateData,
  job: JobRecord,
  { at, failure }: AttemptEnd,
): void {
  if (failure === undefined) return
  const otherUpstreamIds = job.failedUpstreamIds.filter((id) => id !== failure.upstreamId)
  for (const upstreamId of otherUpstreamIds) removeMark(data, upstreamId, job.jobId)
  const health = data.upstreamHealth.get(failure.upstreamId) ?? { markedBy: [] }
  if (health.quarantine !== undefined) {
    if (otherUpstreamIds.length === 0)
      data.upstreamHealth.set(failure.upstreamId, extendQuarantine(health, at))
    return
  }
  if (!failure.fast || otherUpstreamIds.length > 0 || health.markedBy.includes(job.jobId)) return
  const markedBy = [...health.markedBy, job.jobId]
  const changed =
    markedBy.length < quarantineMarkCount
      ? { markedBy }
      : { markedBy, quarantine: startQuarantine(at) }
  data.upstreamHealth.set(failure.upstreamId, changed)
}

/** Clears the marks of each upstream that a finished job ran on, and relaxes or ends its quarantine. */
export function recordSuccess(data: StateData, job: JobRecord): void {
  for (const { upstreamId } of job.placement?.members ?? []) {
    const quarantine = data.upstreamHealth.get(upstreamId)?.quarantine
    const admittedGangs = (quarantine?.admittedGangs ?? admittedGangsMax) * 2
    if (quarantine === undefined || admittedGangs > admittedGangsMax) {
      data.upstreamHealth.delete(upstreamId)
      continue
    }
    const relaxedQuarantine = { ...quarantine, admittedGangs, probed: true }
    data.upstreamHealth.set(upstreamId, { markedBy: [], quarantine: relaxedQuarantine })
  }
}

function removeMark(data: StateData, upstreamId: string, jobId: string): void {
  const health = data.upstreamHealth.get(upstreamId)
  if (health?.markedBy.includes(jobId) !== true) return
  const markedBy = health.markedBy.filter((id) => id !== jobId)
  const remainingQuarantine = health.quarantine?.probed === true ? health.quarantine : undefined
  if (remainingQuarantine !== undefined)
    data.upstreamHealth.set(upstreamId, { markedBy, quarantine: remainingQuarantine })
  else if (markedBy.length > 0) data.upstreamHealth.set(upstreamId, { markedBy })
  else data.upstreamHealth.delete(upstreamId)
}

function startQuarantine(at: string): Quarantine {
  const probeAt = addMs(at, initialPauseMs)
  return { since: at, probeAt, pauseMs: initialPauseMs, admittedGangs: 1, probed: false }
}

/**
 * Doubles the pause after a failed probe and resets the admitted gangs to one. A failure before `probeAt`
 * leaves the quarantine unchanged.
 */
function extendQuarantine({ markedBy, quarantine }: UpstreamHealth, at: string): UpstreamHealth {
  if (quarantine === undefined || at < quarantine.probeAt) return { markedBy, quarantine }
  const pauseMs = Math.min(quarantine.pauseMs * 2, longestPauseMs)
  const probeAt = addMs(at, pauseMs)
  return {
    markedBy,
    quarantine: { ...quarantine, pauseMs, probeAt, admittedGangs: 1, probed: true },
  }
}
