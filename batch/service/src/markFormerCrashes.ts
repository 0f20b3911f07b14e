/** Has an end remove the crashes that earlier versions counted for its task, as they may have been silences. */
import type { BatchState, RunEnd } from '@nettlespur/batch.state'

/** Returns the end as it is if there are none, so that earlier versions can read it. */
export function markFormerCrashes(end: RunEnd, { jobs }: BatchState): RunEnd {
  const task = jobs.get(end.jobId)?.steps[end.step]?.tasks[end.index]
  return task?.crashes === undefined ? end : { ...end, dropsFormerCrashes: true }
}
