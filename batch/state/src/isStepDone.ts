/** Tells whether all tasks of a step are done. */
import type { StepRecord } from './records.js'

/** Tasks start in order, so the search for one that is not done begins with the last. */
export function isStepDone({ tasks }: StepRecord): boolean {
  return tasks.findLast(({ phase }) => phase !== 'done') === undefined
}
