/** Creates the outcomes of attempts that got no answer. */
import { NettlespurError } from '@nettlespur/core.errors'
import type { TaskOutcome, TaskRun } from './taskTransport.js'

/** The attempt may have run. */
export function createLostOutcome(message: string, cause?: Error): TaskOutcome {
  return { kind: 'lost', error: new NettlespurError('outcome-unknown', message, { cause }) }
}

/** The upstream confirmed that the task did not run and will not. */
export function createNeverRunsOutcome(task: TaskRun): TaskOutcome {
  const message = `the upstream confirmed that task ${task.taskId} never runs`
  return { kind: 'refused', error: new NettlespurError('upstream-refused', message) }
}
