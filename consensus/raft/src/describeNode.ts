/** Describes a node and the members it knows, for operators. */
import type { Leader } from './leader.js'
import { isVoterInBothSets, type Member } from './member.js'
import type { Replica, RaftRole } from './replica.js'
import { snapshotMembershipSchema } from './snapshotMembership.js'

export interface MemberDescription extends Member {
  readonly role: 'leader' | 'voter' | 'learner'
  /** Number of entries it is behind the leader. Known to the leader only; 0 on other members. */
  readonly lagEntries: number
  /** Time since its last answer to the leader. Known to the leader only; 0 on other members. */
  readonly silentMs: number
}

export interface NodeDescription {
  readonly role: RaftRole
  readonly term: number
  readonly leaderId: string | undefined
  readonly commitIndex: number
  readonly appliedIndex: number
  readonly lastIndex: number
  /** Undefined if there is no snapshot. */
  readonly snapshotAgeMs: number | undefined
  readonly members: readonly MemberDescription[]
}

export function describeNode<R>(
  replica: Replica<R>,
  leader: Leader<R> | undefined,
): NodeDescription {
  const { role, term, leaderId } = replica.leadership.value
  return {
    role,
    term,
    leaderId,
    commitIndex: replica.commitIndex.value,
    appliedIndex: replica.appliedIndex.value,
    lastIndex: replica.log.lastIndex,
    snapshotAgeMs: readSnapshotAge(replica),
    members: replica.membership.members.map((member) => describeMember(replica, leader, member)),
  }
}

function describeMember<R>(
  { leadership, membership, log, clock }: Replica<R>,
  leader: Leader<R> | undefined,
  member: Member,
): MemberDescription {
  const { memberId } = member
  const votes = isVoterInBothSets(membership, memberId)
  const leads = leadership.value.leaderId === memberId
  const progress = leader?.getProgress(memberId)
  return {
    ...member,
    role: leads ? 'leader' : votes ? 'voter' : 'learner',
    lagEntries: progress === undefined ? 0 : Math.max(0, log.lastIndex - progress.matchIndex),
    silentMs: progress === undefined ? 0 : Math.round(clock.monotonicMs() - progress.lastAnswerMs),
  }
}

function readSnapshotAge<R>({ opts }: Replica<R>): number | undefined {
  const { index, membership } = opts.store.snapshotMeta
  if (index === 0) return undefined
  const { takenAt } = snapshotMembershipSchema.parse(membership)
  return Math.max(0, opts.clock.now().getTime() - Date.parse(takenAt))
}
