/** Lists the upstreams whose speed shows in the pace of a run. */
import type { BatchState, JobRecord, Placement } from '@nettlespur/batch.state'

export interface ListPacedUpstreamsOptions {
  state: BatchState
  /** Whether the upstream has started lately and is slow for a while. */
  isCold: (upstreamId: string) => boolean
}

/**
 * Returns the upstream of a task, or those of all members of a gang. Returns none if the run is slowed down by something
 * else: by an upstream that has just started, by data in another rack, or by a gang that wants one rack and is spread
 * over several. Returns none if the caller has declared no run time to compare with.
 */
export function listPacedUpstreams(
  { state, isCold }: ListPacedUpstreamsOptions,
  run: Placement,
): string[] {
  const job = state.jobs.get(run.jobId)
  const step = job?.request.steps[run.step]
  if (job === undefined || step === undefined || step.expectedRunTimeMs === 0) return []
  const upstreamIds = step.isGang ? listMembers(job, run) : [run.upstreamId]
  if (upstreamIds.some(isCold)) return []
  const racks = new Set(upstreamIds.map((id) => state.upstreams.get(id)?.description.rack))
  if (step.isGang && step.prefersOneRack && racks.size > 1) return []
  const { dataRack } = step
  const isAwayFromData = dataRack !== undefined && [...racks].some((rack) => rack !== dataRack)
  return isAwayFromData ? [] : upstreamIds
}

/** Lists the upstreams of the members that are placed under the same attempt, once each. */
function listMembers(job: JobRecord, { step, attempt }: Placement): string[] {
  const members = new Set<string>()
  for (const task of job.steps[step]?.tasks ?? []) {
    if (task.phase !== 'placed' || task.attempt !== attempt) continue
    if (task.upstreamId !== undefined) members.add(task.upstreamId)
  }
  return [...members]
}
