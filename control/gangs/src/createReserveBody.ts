/** Creates the body with which one member of a gang reserves resources on its upstream. */
import type { Placement, ReserveTask } from '@nettlespur/api.schemas'
import type { JobRecord } from '@nettlespur/control.state'

/** Splits CPU cores and memory in proportion to the accelerators of each member. */
export function createReserveBody(
  job: JobRecord,
  placement: Placement,
  rank: number,
  leaseMs: number,
): ReserveTask {
  const { gang, cpuCores, memoryBytes, workspace, payload } = job.request
  const acceleratorIndexes = placement.members[rank]?.acceleratorIndexes ?? []
  const share = acceleratorIndexes.length / gang.accelerators
  return {
    jobId: job.jobId,
    fence: placement.fence,
    workspace,
    rank,
    gangSize: placement.members.length,
    acceleratorIndexes,
    cpuCores: cpuCores * share,
    memoryBytes: Math.floor(memoryBytes * share),
    leaseMs,
    payload,
    ...(job.checkpointId === undefined ? {} : { checkpointId: job.checkpointId }),
  }
}
