/** Selects gangs to preempt because one of their upstreams is leaving. */
import type { UpstreamView } from '@nettlespur/api.schemas'
import type { ControlState, JobRecord } from '@nettlespur/control.state'
import type { PreemptDecision } from '@nettlespur/placement.engine'

/** After a preemption was abandoned, the gang is not preempted again for this long. */
const keptJobCooldownMs = 30_000

/** Unlike a PreemptDecision, it may free accelerators without a particular job that needs them. */
export type Preemption = Omit<PreemptDecision, 'forJobId'> & {
  readonly forJobId?: string | undefined
}

/** Leaves out jobs that are neither repeatable nor checkpointable, as stopping one would lose it. */
export function listMoves(state: ControlState, upstreams: readonly UpstreamView[]): Preemption[] {
  const leaving = upstreams.filter((view) => view.state === 'leaving')
  if (leaving.length === 0) return []
  const leavingIds = new Set(leaving.map((view) => view.upstreamId))
  return state.listLiveJobs().flatMap((job) => {
    const { repeatable, checkpointable } = job.request
    if (!repeatable && !checkpointable) return []
    const from = job.placement?.members.find((member) => leavingIds.has(member.upstreamId))
    if (from === undefined) return []
    const reason = `moves: its upstream ${from.upstreamId} is leaving`
    return [{ kind: 'preempt', jobId: job.jobId, withCheckpoint: checkpointable, reason }]
  })
}

export function canPreempt(job: JobRecord, now: Date): boolean {
  if (job.state === 'stopping') return false
  const kept = job.decisions.findLast((decision) => decision.event === 'job.kept')
  return kept === undefined || now.getTime() - Date.parse(kept.at) >= keptJobCooldownMs
}
