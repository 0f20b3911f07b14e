/** Why a job is to be given up, if it is. */
import { isPoison } from './crashRecord.js'
import type { JobFailure, JobRecord, StepRecord } from './records.js'

/** The first reason found; undefined while the job may go on. */
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
