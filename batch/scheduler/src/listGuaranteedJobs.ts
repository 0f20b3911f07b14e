/** Which jobs may have what their workspace is guaranteed, whoever uses it now. */
import type { JobRecord } from '@nettlespur/batch.state'

/** Only jobs of this priority draw on the guarantee. */
const guaranteedPriority = 0

/** Ids of the jobs that together need no more than the guarantee of their workspace, the oldest first. */
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

/** The most that any of its steps holds at a time. */
function countPeakAccelerators({ request: { steps } }: JobRecord): number {
  return Math.max(...steps.map(({ taskCount, needs }) => taskCount * needs.accelerators))
}
