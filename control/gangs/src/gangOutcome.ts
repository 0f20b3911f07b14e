/** The outcome of one attempt of a gang. */
import type { JobAnswer } from '@nettlespur/api.schemas'
import type { TaskFailure } from '@nettlespur/control.state'
import type { GangMember } from './gangMember.js'

export interface GangFinished {
  readonly kind: 'finished'
  readonly parts: JobAnswer['parts']
}

/**
 * A task failed on its own (`failed`), an upstream reported that it no longer has a task (`lost`), an upstream was not heard
 * until the lease of its task was over (`silent`), or the caller cancelled the job.
 */
export interface GangAborted {
  readonly kind: 'failed' | 'lost' | 'silent' | 'cancelled'
  readonly reason: string
  /** False only if it is certain that no start had an effect. */
  readonly startSent: boolean
  /** Set if a task failed on its own. */
  readonly failure?: TaskFailure | undefined
}

/** Queued again, except a job that may have run, is not repeatable and has no checkpoint. */
export interface GangPreempted {
  readonly kind: 'preempted'
  readonly reason: string
  readonly startSent: boolean
  /** Undefined if no checkpoint was requested, or not every member took one in time. */
  readonly checkpointId?: string | undefined
}

export type GangStopped = GangAborted | GangPreempted
export type GangOutcome = GangFinished | GangStopped

/** A task that fails within this time of its start counts as a fast failure, which may be due to its upstream. */
const fastFailureMs = 10_000

/**
 * Derives the outcome of the gang from the states of its members. Returns undefined while the gang runs.
 * `ranMs` is the time since its start, or infinite if that is not known.
 */
export function evaluateMembers(
  members: readonly GangMember[],
  ranMs: number,
): GangAborted | 'finished' | undefined {
  const startSent = members.some((member) => member.mayHaveSentStart)
  const failed = members.find((member) => member.state === 'failed')
  if (failed !== undefined) {
    return {
      kind: 'failed',
      reason: `failed on ${failed.upstreamId}: ${failed.failure}`,
      startSent,
      failure: { upstreamId: failed.upstreamId, fast: ranMs < fastFailureMs },
    }
  }
  const lost = members.find((member) => member.isLost)
  if (lost !== undefined) {
    const kind = members.some((member) => member.isReportedLost) ? 'lost' : 'silent'
    return { kind, reason: describeLost(lost), startSent }
  }
  return members.every((member) => member.state === 'finished') ? 'finished' : undefined
}

/** A silent gang is lost for certain once one of its upstreams has answered the stop without a record of the task. */
export function confirmLoss(members: readonly GangMember[], outcome: GangStopped): GangStopped {
  const isForgotten = members.some((member) => member.isForgotten)
  return outcome.kind === 'silent' && isForgotten ? { ...outcome, kind: 'lost' } : outcome
}

function describeLost({ upstreamId, state }: GangMember): string {
  return `lost its member on ${upstreamId}, last known as ${state ?? 'silent'}`
}
