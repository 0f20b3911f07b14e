/**
 * Waits for a job's end in looks short enough to follow a change of leader and to end with a planned stop.
 * A job that ended without an answer is the error the table has for it.
 */
import { finalJobStates, type JobView } from '@nettlespur/api.schemas'
import type { AnswerRequest, JobOutcome } from '@nettlespur/control.api'
import { NettlespurError } from '@nettlespur/core.errors'
import { askControl } from './askControl.js'
import type { EntryContext } from './entryContext.js'

const longestLookMs = 1000
/** Between two looks, should control answer before its wait is over. */
const pauseMs = 50

export async function awaitJobAnswer(
  context: EntryContext,
  request: AnswerRequest,
  callerGone: AbortSignal,
): Promise<JobOutcome> {
  const { clock, control } = context
  const endMs = clock.monotonicMs() + request.waitMs
  for (;;) {
    const remainingMs = Math.max(0, endMs - clock.monotonicMs())
    const waitMs = Math.min(Math.ceil(remainingMs), longestLookMs)
    const outcome = await askControl({ clock, effect: 'read' }, () =>
      control.awaitAnswer({ ...request, waitMs }),
    )
    if (finalJobStates.has(outcome.job.state)) return requireAnswer(outcome)
    const ended = clock.monotonicMs() >= endMs
    if (ended || callerGone.aborted || context.drain.refusal() !== undefined) return outcome
    await clock.sleep(pauseMs, callerGone)
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
