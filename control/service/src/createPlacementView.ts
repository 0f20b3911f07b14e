/** The view a placement decision is taken from: upstreams as heard, everything else as committed. */
import type { UpstreamView } from '@nettlespur/api.schemas'
import type { ControlState, JobRecord } from '@nettlespur/control.state'
import type { HeldBlock, PlacementView, WaitingJob } from '@nettlespur/placement.engine'

export function createPlacementView(
  state: ControlState,
  upstreams: readonly UpstreamView[],
  now: Date,
): PlacementView {
  const jobs = state.listLiveJobs()
  const limits = state
    .listContracts()
    .map(({ contract }) => [contract.workspace, contract.limits.concurrentAccelerators] as const)
  return {
    upstreams,
    held: jobs.flatMap(listHeldBlocks),
    waiting: jobs.filter((job) => job.state === 'queued').map((job) => toWaitingJob(job, now)),
    acceleratorLimits: new Map(limits),
  }
}

/** A placement is held until its end is committed, which waits for all its members to have stopped. */
function listHeldBlocks({ request, placement }: JobRecord): HeldBlock[] {
  const { workspace, gang, cpuCores, memoryBytes } = request
  return (placement?.members ?? []).map(({ upstreamId, acceleratorIndexes }) => {
    const share = acceleratorIndexes.length / gang.accelerators
    return {
      upstreamId,
      acceleratorIndexes,
      workspace,
      cpuCores: cpuCores * share,
      memoryBytes: memoryBytes * share,
    }
  })
}

function toWaitingJob({ jobId, request, retryAt }: JobRecord, now: Date): WaitingJob {
  const { workspace, gang, cpuCores, memoryBytes, urgency } = request
  const tooEarly = retryAt !== undefined && Date.parse(retryAt) > now.getTime()
  const heldBack = tooEarly ? `tried again from ${retryAt} on` : undefined
  return { jobId, workspace, gang, cpuCores, memoryBytes, urgency, heldBack }
}
