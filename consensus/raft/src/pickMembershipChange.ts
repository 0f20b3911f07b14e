/**
 * Picks the next membership change that the leader makes automatically: record a member's disk, remove a voter that
 * lost its disk, replace a silent voter with a ready learner, or promote learners while there are too few voters.
 */
import type { Member, Membership } from './member.js'

/** What the leader knows of one member. */
export interface MemberFacts {
  readonly diskId: string | undefined
  /** Whether it has synced all but the newest entries, has answered recently, and answers from its recorded disk. */
  readonly ready: boolean
  readonly silentMs: number
}

export interface PickMembershipChangeOptions {
  membership: Membership
  leaderId: string
  getFacts: (memberId: string) => MemberFacts
  replaceVoterAfterMs: number
}

/** The next membership, and the reason for its log line. */
export interface MembershipChange {
  readonly membership: Membership
  readonly reason: string
}

/** Returns undefined if no change is needed. */
export function pickMembershipChange(
  opts: PickMembershipChangeOptions,
): MembershipChange | undefined {
  return pickDiskUpdate(opts) ?? pickReplacement(opts) ?? pickPromotion(opts)
}

/** Returns the target number of voters, always odd: one more voter would not let the group survive another loss. */
export function countWantedVoters(members: number): number {
  if (members < 3) return 1
  return members < 5 ? 3 : 5
}

/**
 * Never replaces a voter's recorded disk: its votes and acknowledgements on the old disk would count for the new one.
 */
function pickDiskUpdate(opts: PickMembershipChangeOptions): MembershipChange | undefined {
  const { membership, leaderId, getFacts } = opts
  const update = (member: Member): Member => {
    const { diskId } = getFacts(member.memberId)
    const fixed =
      member.memberId === leaderId ||
      (member.diskId !== undefined && membership.voters.includes(member.memberId))
    return fixed || diskId === undefined ? member : { ...member, diskId }
  }
  const members = membership.members.map(update)
  const changed = members.some(({ diskId }, at) => diskId !== membership.members[at]?.diskId)
  return changed
    ? { membership: { ...membership, members }, reason: 'a disk became known' }
    : undefined
}

function pickReplacement(opts: PickMembershipChangeOptions): MembershipChange | undefined {
  const { membership, leaderId, getFacts, replaceVoterAfterMs } = opts
  const others = membership.voters.filter((memberId) => memberId !== leaderId)
  const lost = others.find((memberId) => hasLostDisk(membership, memberId, getFacts))
  const silent = others.find((memberId) => getFacts(memberId).silentMs > replaceVoterAfterMs)
  const leaving = lost ?? silent
  if (leaving === undefined) return undefined
  const staying = membership.voters.filter((memberId) => memberId !== leaving)
  const [standby] = listReadyLearners(opts, staying)
  if (standby === undefined && lost === undefined) return undefined
  const voters = standby === undefined ? staying : [...staying, standby]
  const reason = `${leaving} ${lost === undefined ? 'is silent' : 'has lost its disk'}`
  return { membership: { ...membership, voters }, reason }
}

function hasLostDisk(
  { members }: Membership,
  memberId: string,
  getFacts: PickMembershipChangeOptions['getFacts'],
): boolean {
  const known = members.find((member) => member.memberId === memberId)?.diskId
  const { diskId } = getFacts(memberId)
  return known !== undefined && diskId !== undefined && known !== diskId
}

function pickPromotion(opts: PickMembershipChangeOptions): MembershipChange | undefined {
  const { membership } = opts
  const missing = countWantedVoters(membership.members.length) - membership.voters.length
  const ready = listReadyLearners(opts, membership.voters).slice(0, Math.max(0, missing))
  if (ready.length === 0 || ready.length < missing) return undefined
  const voters = [...membership.voters, ...ready]
  return { membership: { ...membership, voters }, reason: 'learners became voters' }
}

/**
 * Returns the learners that are ready. Those whose data centre has the fewest voters come first, so that no data centre
 * comes to hold a majority.
 */
function listReadyLearners(
  { membership, getFacts }: PickMembershipChangeOptions,
  voters: readonly string[],
): string[] {
  const inDataCentre = (dataCentre: string): number =>
    membership.members.filter(
      (member) => member.dataCentre === dataCentre && voters.includes(member.memberId),
    ).length
  return membership.members
    .filter(({ memberId }) => !membership.voters.includes(memberId))
    .filter(({ memberId, diskId }) => diskId !== undefined && getFacts(memberId).ready)
    .sort((left, right) => inDataCentre(left.dataCentre) - inDataCentre(right.dataCentre))
    .map(({ memberId }) => memberId)
}
