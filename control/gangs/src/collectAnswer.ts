/** Collects the answer of a finished gang: one part for each member, in rank order. */
import type { JobAnswer } from '@nettlespur/api.schemas'
import { isUtf8 } from 'node:buffer'
import type { GangMember } from './gangMember.js'
import type { GangOptions } from './gangOptions.js'
import type { GangOutcome } from './gangOutcome.js'

const collectRetryMs = 250
/** For a job that can't run again. Less than the ten minutes for which upstreams keep answers by default. */
const collectMsMax = 300_000

/**
 * Retries each part until it is received, its member is lost, or a task lease has passed since the first try; `collectMsMax`
 * if the job can't run again.
 */
export async function collectAnswer(
  opts: GangOptions,
  members: readonly GangMember[],
  signal: AbortSignal,
): Promise<GangOutcome> {
  const bodies = await Promise.all(members.map((member) => collectPart(opts, member, signal)))
  const parts: JobAnswer['parts'] = []
  for (const [rank, member] of members.entries()) {
    const body = bodies[rank]
    if (body === undefined)
      return createStoppedOutcome('silent', `the answer of ${member.upstreamId} is gone`)
    if (!isUtf8(body))
      return createStoppedOutcome('failed', `the answer of ${member.upstreamId} is not UTF-8`)
    const { taskId } = member.task
    parts.push({ taskId, upstreamId: member.upstreamId, body: body.toString('utf8') })
  }
  return { kind: 'finished', parts }
}

function createStoppedOutcome(kind: 'silent' | 'failed', reason: string): GangOutcome {
  return { kind, reason, startSent: true }
}

async function collectPart(
  opts: GangOptions,
  member: GangMember,
  signal: AbortSignal,
): Promise<Buffer | undefined> {
  const limitMs = member.mayRunAgain ? opts.timings.taskLeaseMs : collectMsMax
  const deadlineMs = opts.clock.monotonicMs() + limitMs
  for (;;) {
    signal.throwIfAborted()
    const answer = await member.getAnswer().run()
    if (answer.isRight()) return answer.extract()
    await member.renew()
    if (member.isLost || opts.clock.monotonicMs() >= deadlineMs) return undefined
    await opts.clock.sleep(collectRetryMs, signal)
  }
}
