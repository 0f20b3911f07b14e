/** Creates the record of a newly accepted job, with all tasks waiting. */
import type { JobRequest, QueueConfig, StepSpec } from '@nettlespur/batch.model'
import type { JobRecord, StepRecord, TaskRecord } from './records.js'

export interface CreateJobRecordOptions {
  request: JobRequest
  workspace: string
  queue: QueueConfig
  number: number
}

export function createJobRecord(opts: CreateJobRecordOptions): JobRecord {
  return {
    ...opts,
    status: 'active',
    hasStarted: false,
    steps: opts.request.steps.map(createStepRecord),
  }
}

function createStepRecord({ taskCount }: StepSpec): StepRecord {
  return {
    tasks: Array.from({ length: taskCount }, createTaskRecord),
    gangFailures: 0,
    failedGangAttempt: 0,
    endedGangAttempt: 0,
  }
}

function createTaskRecord(): TaskRecord {
  return { phase: 'waiting', attempt: 0, failures: 0, checkpoint: '', failedOn: [] }
}
