/** Selects the jobs that may claim the guaranteed accelerators of their workspace, even if other work uses them now. */
import type { JobRecord } from '@nettlespur/batch.state'
import { maxOf } from '@nettlespur/core.lists'

/** Only jobs of this priority use the guarantee. */
const guaranteedPriority = 0

/** Returns the ids of jobs that together fit into the guarantees of their workspaces, chosen oldest first. */
export function listGuaranteedJobs(
  jobs: readonly JobRecord[],
  guarantees: ReadonlyMap<string, number>,
): Set<string> {
  const left = new Map(guarantees)
  const guaranteed = new Set<string>()
  for (const job of jobs) {
    if (job.status !== 'active' || job.queue.priority !== guaranteedPriority) continue
    const remaining = (left.get(job.workspace) ?? 0) - countPeakAccelerators(job)
    if (remaining < 0) continue
    left.set(job.workspace, remaining)
    guaranteed.add(job.request.jobId)
  }
  return guaranteed
}

/** Returns the accelerators of the job's largest step. */
function countPeakAccelerators({ request: { steps } }: JobRecord): number {
  return maxOf(steps.map(({ taskCount, needs }) => taskCount * needs.accelerators))
}
