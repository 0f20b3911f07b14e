/** The error of a call to a control instance that does not lead. */
import type { Leadership } from '@nettlespur/control.log'
import { NettlespurError } from '@nettlespur/core.errors'

const electionRetryAfterMs = 250

/** The hint names the leader's address if it is known. */
export function createNotLeaderError(
  instanceId: string,
  leadership: Leadership | undefined,
): NettlespurError {
  const leader = leadership?.leaderAddress
  const known = leader !== undefined && leadership?.isLeader === false
  const hint = known
    ? `ask ${leader}`
    : 'ask another control instance; an election may be under way'
  return new NettlespurError('not-leader', `${instanceId} does not lead`, {
    hint,
    retryAfterMs: electionRetryAfterMs,
  })
}
