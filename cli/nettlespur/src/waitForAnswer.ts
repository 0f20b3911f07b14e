/** Waits for a job's whole answer over as many calls as it takes. */
import type { JobAnswer } from '@nettlespur/api.schemas'
import type { Cluster, ClusterAnswer } from './cluster.js'
import { callForOutcome, type JobArgValues } from './jobArgs.js'
import { createNotEndedError } from './notEndedError.js'

const longestCallWaitMs = 20_000
/** Between two asks, as an entry about to stop answers at once. */
const pauseMs = 250
export const defaultWaitMs = 600_000

/** Errors: throws `outcome-unknown` where the job has not ended in time. */
export async function waitForAnswer(
  cluster: Cluster,
  args: JobArgValues,
  waitMs: number,
): Promise<ClusterAnswer<JobAnswer>> {
  const deadlineMs = cluster.clock.monotonicMs() + waitMs
  for (;;) {
    const remainingMs = Math.max(0, Math.ceil(deadlineMs - cluster.clock.monotonicMs()))
    const callWaitMs = Math.min(remainingMs, longestCallWaitMs)
    const { value, ...answer } = await callForOutcome(cluster, args, callWaitMs)
    if ('parts' in value) return { ...answer, value }
    if (remainingMs <= longestCallWaitMs) throw createNotEndedError(value, waitMs)
    await cluster.clock.sleep(pauseMs)
  }
}
