/** Whether a task, or any member of its gang, is suspected of crashing upstreams, so that its next start is a trial. */
import { isSuspect } from './crashRecord.js'
import type { JobRecord, TaskRecord } from './records.js'
import { hasSuspectLosses } from './upstreamLosses.js'

export function isSuspectTask(
  { request, steps }: JobRecord,
  { step, index }: { readonly step: number; readonly index: number },
): boolean {
  const tasks = steps[step]?.tasks ?? []
  if (request.steps[step]?.isGang === true) return tasks.some(isSuspectRecord)
  const task = tasks[index]
  return task !== undefined && isSuspectRecord(task)
}

function isSuspectRecord(task: TaskRecord): boolean {
  return isSuspect(task.crashes) || hasSuspectLosses(task)
}
