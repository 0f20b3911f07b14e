/**
 * Waits for a job's answer by long polls to control. Each poll is short, so that the wait survives a change of leader and
 * ends with a planned stop. Errors: throws the one that belongs to the job's end if the job ended without an answer.
 */
import { finalJobStates, type JobView } from '@nettlespur/api.schemas'
import type { AnswerRequest, JobOutcome } from '@nettlespur/control.api'
import { NettlespurError } from '@nettlespur/core.errors'
import { askControl } from './askControl.js'
import type { EntryContext } from './entryContext.js'

const pollWaitMaxMs = 1000
/** Pause between two polls, in case control answers before its wait is over. */
const pollPauseMs = 50

export async function awaitJobAnswer(
  context: EntryContext,
  request: AnswerRequest,
  callerGone: AbortSignal,
): Promise<JobOutcome> {
  const { clock, control } = context
  const endMs = clock.monotonicMs() + request.waitMs
  for (;;) {
    const remainingMs = Math.max(0, endMs - clock.monotonicMs())
    const waitMs = Math.min(Math.ceil(remainingMs), pollWaitMaxMs)
    const outcome = await askControl({ clock, effect: 'read' }, () =>
      control.awaitAnswer({ ...request, waitMs }),
    )
    if (finalJobStates.has(outcome.job.state)) return requireAnswer(outcome)
    const isOver = clock.monotonicMs() >= endMs
    if (isOver || callerGone.aborted || context.drain.refusal() !== undefined) return outcome
    await clock.sleep(pollPauseMs, callerGone)
  }
}

function requireAnswer(outcome: JobOutcome): JobOutcome {
  if (outcome.job.state === 'finished' && outcome.answer !== undefined) return outcome
  throw createEndError(outcome.job)
}

function createEndError(job: JobView): NettlespurError {
  const message = `job ${job.jobId} ${job.state}: ${job.reason}`
  switch (job.state) {
    case 'failed':
      return new NettlespurError('job-failed', message)
    case 'cancelled':
      return new NettlespurError(
        job.startedAt === undefined ? 'cancelled-before-start' : 'cancelled-after-start',
        message,
      )
    case 'finished':
      return new NettlespurError('answer-expired', message)
    default:
      return new NettlespurError('outcome-unknown', message)
  }
}
