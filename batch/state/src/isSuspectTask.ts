/** Whether a task, or its gang, has to show that it does not crash the upstream that starts it. */
import { isSuspect } from './crashRecord.js'
import type { JobRecord } from './records.js'

export function isSuspectTask(
  { request, steps }: JobRecord,
  { step, index }: { readonly step: number; readonly index: number },
): boolean {
  const record = steps[step]
  if (request.steps[step]?.isGang === true) return isSuspect(record?.gangCrashes)
  return isSuspect(record?.tasks[index]?.crashes)
}
