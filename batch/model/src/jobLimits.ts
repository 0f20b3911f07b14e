/** How large a job may be. Jobs that were accepted before there was a limit stay as they are. */
import type { JobRequest } from './jobRequest.js'

/** All control instances hold each task of a job in memory, also for a while after its end. */
export const tasksPerJobMax = 50_000
/** The members of a gang are placed in one command. */
export const tasksPerGangMax = 1000

/** Returns the number of tasks of all steps. */
export function countTasks({ steps }: Pick<JobRequest, 'steps'>): number {
  return steps.reduce((sum, { taskCount }) => sum + taskCount, 0)
}

/** Returns why the job is too large; undefined if it is not. */
export function findSizeFault(request: JobRequest): string | undefined {
  const taskCount = countTasks(request)
  if (taskCount > tasksPerJobMax)
    return `a job may have ${tasksPerJobMax} tasks, and this one has ${taskCount}`
  const gang = request.steps.find((step) => step.isGang && step.taskCount > tasksPerGangMax)
  if (gang === undefined) return undefined
  return `a gang may have ${tasksPerGangMax} tasks, and this one has ${gang.taskCount}`
}
