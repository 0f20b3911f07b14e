/**
 * Rendezvous hashing: each upstream goes to the member with the highest hash of the pair. When a member is taken out, only
 * its own upstreams move.
 */
import { createHash } from 'node:crypto'

const hashBytes = 6

/**
 * Returns the member that serves the upstream address; undefined if there are no members. Processes that follow each other
 * at an address have the same member.
 */
export function assignMember(
  upstreamAddress: string,
  memberAddresses: Iterable<string>,
): string | undefined {
  let best: string | undefined
  let bestWeight = -1
  for (const memberAddress of memberAddresses) {
    const weight = computeWeight(upstreamAddress, memberAddress)
    if (weight > bestWeight || (weight === bestWeight && memberAddress < (best ?? ''))) {
      best = memberAddress
      bestWeight = weight
    }
  }
  return best
}

function computeWeight(upstreamAddress: string, memberAddress: string): number {
  const digest = createHash('sha1').update(`${memberAddress} ${upstreamAddress}`).digest()
  return digest.readUIntBE(0, hashBytes)
}
