/** Decides whether a job must be given up, and why. */
import { isPoison } from './crashRecord.js'
import type { JobFailure, JobRecord, StepRecord } from './records.js'

/** Returns the first reason found, or undefined if the job may continue. */
export function findFailure({ queue, request, steps }: JobRecord): JobFailure | undefined {
  for (const [step, record] of steps.entries()) {
    const isGang = request.steps[step]?.isGang === true
    if (isGang && record.gangFailures >= queue.attemptsMax) {
      return { reason: 'attempts-used-up', step }
    }
    const found = findTaskFailure(record, queue.attemptsMax)
    if (found !== undefined) return { ...found, step }
  }
  return undefined
}

function findTaskFailure(
  { tasks }: StepRecord,
  attemptsMax: number,
): Pick<JobFailure, 'reason' | 'index'> | undefined {
  for (const [index, { failures, crashes, attempt, phase }] of tasks.entries()) {
    if (failures >= attemptsMax) return { reason: 'attempts-used-up', index }
    if (phase === 'waiting' && isPoison(crashes, attempt))
      return { reason: 'crashes-upstreams', index }
  }
  return undefined
}
