/** Quorums: a majority of the voters and, during joint consensus, a majority of the old voters too. */
import type { Membership } from './member.js'

/** Whether the members for which `agrees` returns true form a quorum. */
export function hasQuorum(membership: Membership, agrees: (memberId: string) => boolean): boolean {
  return pickQuorumValue(membership, (memberId) => Number(agrees(memberId))) === 1
}

/** Returns the highest value that every member of some quorum has reached. */
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
