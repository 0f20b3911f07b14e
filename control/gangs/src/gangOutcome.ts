/** How one attempt of a gang went. */
import type { JobAnswer } from '@nettlespur/api.schemas'
import type { GangMember } from './gangMember.js'

export interface GangFinished {
  readonly kind: 'finished'
  readonly parts: JobAnswer['parts']
}

/** A task failed by itself, a member was lost, or the caller cancelled. */
export interface GangBroken {
  readonly kind: 'failed' | 'lost' | 'cancelled'
  readonly reason: string
  /** False where it is certain that no start left. */
  readonly startSent: boolean
}

export type GangOutcome = GangFinished | GangBroken

/** What the states of the members amount to; undefined while the gang goes on. */
export function judgeMembers(members: readonly GangMember[]): GangBroken | 'finished' | undefined {
  const startSent = members.some((member) => member.startMayHaveLeft)
  const failed = members.find((member) => member.state === 'failed')
  if (failed !== undefined) {
    return {
      kind: 'failed',
      reason: `failed on ${failed.upstreamId}: ${failed.failure}`,
      startSent,
    }
  }
  const lost = members.find((member) => member.isLost)
  if (lost !== undefined) return { kind: 'lost', reason: describeLost(lost), startSent }
  return members.every((member) => member.state === 'finished') ? 'finished' : undefined
}

function describeLost({ upstreamId, state }: GangMember): string {
  return `lost its member on ${upstreamId}, last known as ${state ?? 'silent'}`
}
