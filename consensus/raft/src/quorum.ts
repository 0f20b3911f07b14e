/** Majorities, over the former voters too while a membership change is under way. */
import type { Membership } from './member.js'

/** Whether the members that `agrees` form a quorum. */
export function hasQuorum(membership: Membership, agrees: (memberId: string) => boolean): boolean {
  return pickQuorumValue(membership, (memberId) => Number(agrees(memberId))) === 1
}

/** The highest value that a quorum has reached. */
export function pickQuorumValue(
  { voters, outgoing }: Membership,
  valueOf: (memberId: string) => number,
): number {
  const present = pickMajorityValue(voters, valueOf)
  if (outgoing === undefined) return present
  return Math.min(present, pickMajorityValue(outgoing, valueOf))
}

function pickMajorityValue(
  voters: readonly string[],
  valueOf: (memberId: string) => number,
): number {
  const values = voters.map((memberId) => valueOf(memberId)).sort((a, b) => b - a)
  return values[Math.floor(voters.length / 2)] ?? -Infinity
}
