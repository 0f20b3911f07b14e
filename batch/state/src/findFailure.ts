/** Why a job is to be given up, if it is. */
import { isPoison } from './crashRecord.js'
import type { JobFailure, JobRecord, StepRecord } from './records.js'

/** The first reason found; undefined while the job may go on. */
export function findFailure({ queue, request, steps }: JobRecord): JobFailure | undefined {
  for (const [step, record] of steps.entries()) {
    const isGang = request.steps[step]?.isGang === true
    const found = isGang
      ? judgeGang(record, queue.attemptsMax)
      : judgeTasks(record, queue.attemptsMax)
    if (found !== undefined) return { ...found, step }
  }
  return undefined
}

type FailedPart = Pick<JobFailure, 'reason' | 'index'>

function judgeGang(
  { gangFailures, gangCrashes }: StepRecord,
  attemptsMax: number,
): FailedPart | undefined {
  if (gangFailures >= attemptsMax) return { reason: 'attempts-used-up' }
  return isPoison(gangCrashes) ? { reason: 'crashes-upstreams' } : undefined
}

function judgeTasks({ tasks }: StepRecord, attemptsMax: number): FailedPart | undefined {
  for (const [index, { failures, crashes }] of tasks.entries()) {
    if (failures >= attemptsMax) return { reason: 'attempts-used-up', index }
    if (isPoison(crashes)) return { reason: 'crashes-upstreams', index }
  }
  return undefined
}
