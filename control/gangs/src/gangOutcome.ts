/** How one attempt of a gang went. */
import type { JobAnswer } from '@nettlespur/api.schemas'
import type { TaskFailure } from '@nettlespur/control.state'
import type { GangMember } from './gangMember.js'

export interface GangFinished {
  readonly kind: 'finished'
  readonly parts: JobAnswer['parts']
}

/** A task failed by itself, a member was lost, or the caller cancelled. */
export interface GangAborted {
  readonly kind: 'failed' | 'lost' | 'cancelled'
  readonly reason: string
  /** False where it is certain that no start left. */
  readonly startSent: boolean
  /** Where a task failed by itself. */
  readonly failure?: TaskFailure | undefined
}

/** The gang makes way for another job and is queued again. */
export interface GangPreempted {
  readonly kind: 'preempted'
  readonly reason: string
  readonly startSent: boolean
  /** Undefined where none was to be taken, or a member gave none in time. */
  readonly checkpointId?: string | undefined
}

export type GangStopped = GangAborted | GangPreempted
export type GangOutcome = GangFinished | GangStopped

/** A task that fails within this time of its start casts suspicion on its upstream. */
const fastFailureMs = 10_000

/**
 * What the states of the members amount to; undefined while the gang goes on. `ranMs`: since
 * its start, infinite where that is not known.
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
  if (lost !== undefined) return { kind: 'lost', reason: describeLost(lost), startSent }
  return members.every((member) => member.state === 'finished') ? 'finished' : undefined
}

function describeLost({ upstreamId, state }: GangMember): string {
  return `lost its member on ${upstreamId}, last known as ${state ?? 'silent'}`
}
