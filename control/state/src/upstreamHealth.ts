/**
 * Tells upstreams that fail everything from jobs that fail everywhere. The first fast failure of a job is
 * held against its upstream; when the job fails on another one too, the first mark is taken back, as the
 * fault is then the job's. Marks of several jobs without a success in between quarantine the upstream.
 * After a pause it is probed, and each success there doubles the gangs it may hold, until it is let back.
 */
import { z } from 'zod'
import type { TaskFailure } from './command.js'
import type { JobRecord } from './jobRecord.js'
import type { StateData } from './stateData.js'

/** Jobs whose marks quarantine an upstream. */
export const quarantineMarkCount = 3
/** An upstream that may hold more gangs than this again is let back. */
const admittedGangsMax = 4
const initialPauseMs = 10_000
const longestPauseMs = 600_000

const quarantineSchema = z.object({
  since: z.iso.datetime(),
  /** Not probed before this time. */
  probeAt: z.iso.datetime(),
  pauseMs: z.int().positive(),
  /** Gangs it may hold at once from `probeAt` on. */
  admittedGangs: z.int().positive(),
  /** True once a probe has failed, or has succeeded: taking marks back no longer ends it. */
  probed: z.boolean(),
})

export const upstreamHealthSchema = z.object({
  /** Jobs whose failure is held against the upstream. */
  markedBy: z.array(z.string()),
  quarantine: quarantineSchema.optional(),
})
export type UpstreamHealth = z.infer<typeof upstreamHealthSchema>

/** What is known of a failed attempt, as its command carries it. */
interface AttemptEnd {
  readonly at: string
  readonly failure?: TaskFailure | undefined
}

/** The upstreams on which tasks of the job have failed, with the newest one. */
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
  const elsewhere = job.failedUpstreamIds.filter((id) => id !== failure.upstreamId)
  for (const upstreamId of elsewhere) removeMark(data, upstreamId, job.jobId)
  const health = data.upstreamHealth.get(failure.upstreamId) ?? { markedBy: [] }
  if (health.quarantine !== undefined) {
    if (elsewhere.length === 0)
      data.upstreamHealth.set(failure.upstreamId, extendQuarantine(health, at))
    return
  }
  if (!failure.fast || elsewhere.length > 0 || health.markedBy.includes(job.jobId)) return
  const markedBy = [...health.markedBy, job.jobId]
  const changed =
    markedBy.length < quarantineMarkCount
      ? { markedBy }
      : { markedBy, quarantine: startQuarantine(at) }
  data.upstreamHealth.set(failure.upstreamId, changed)
}

/** A finished job speaks for each upstream it ran on. */
export function recordSuccess(data: StateData, job: JobRecord): void {
  for (const { upstreamId } of job.placement?.members ?? []) {
    const quarantine = data.upstreamHealth.get(upstreamId)?.quarantine
    const admittedGangs = (quarantine?.admittedGangs ?? admittedGangsMax) * 2
    if (quarantine === undefined || admittedGangs > admittedGangsMax) {
      data.upstreamHealth.delete(upstreamId)
      continue
    }
    const eased = { ...quarantine, admittedGangs, probed: true }
    data.upstreamHealth.set(upstreamId, { markedBy: [], quarantine: eased })
  }
}

function removeMark(data: StateData, upstreamId: string, jobId: string): void {
  const health = data.upstreamHealth.get(upstreamId)
  if (health?.markedBy.includes(jobId) !== true) return
  const markedBy = health.markedBy.filter((id) => id !== jobId)
  const stays = health.quarantine?.probed === true ? health.quarantine : undefined
  if (stays !== undefined) data.upstreamHealth.set(upstreamId, { markedBy, quarantine: stays })
  else if (markedBy.length > 0) data.upstreamHealth.set(upstreamId, { markedBy })
  else data.upstreamHealth.delete(upstreamId)
}

function startQuarantine(at: string): z.infer<typeof quarantineSchema> {
  const probeAt = addMs(at, initialPauseMs)
  return { since: at, probeAt, pauseMs: initialPauseMs, admittedGangs: 1, probed: false }
}

/** A failure in quarantine doubles the pause, and the way back begins anew. */
function extendQuarantine({ markedBy, quarantine }: UpstreamHealth, at: string): UpstreamHealth {
  if (quarantine === undefined || at < quarantine.probeAt) return { markedBy, quarantine }
  const pauseMs = Math.min(quarantine.pauseMs * 2, longestPauseMs)
  const probeAt = addMs(at, pauseMs)
  return {
    markedBy,
    quarantine: { ...quarantine, pauseMs, probeAt, admittedGangs: 1, probed: true },
  }
}

function addMs(at: string, durationMs: number): string {
  return new Date(Date.parse(at) + durationMs).toISOString()
}
