/** Takes a checkpoint of a whole gang: of every member or of none, within a bounded time. */
import type { GangMember } from './gangMember.js'
import type { GangOptions } from './gangOptions.js'

/** Well under a task lease, as nothing is renewed meanwhile. */
export const checkpointTimeoutMs = 5000
/** A gang's checkpoint names those of its members in rank order; any split of the gang can read it. */
const separator = ','

/** Undefined where a member gave none in time. */
export async function takeCheckpoint(
  opts: GangOptions,
  members: readonly GangMember[],
  signal: AbortSignal,
): Promise<string | undefined> {
  const taken = Promise.all(members.map((member) => member.checkpoint()))
  const timerAbort = new AbortController()
  const timeout = opts.clock.sleep(
    checkpointTimeoutMs,
    AbortSignal.any([signal, timerAbort.signal]),
  )
  const ids = await Promise.race([taken, timeout])
  timerAbort.abort()
  signal.throwIfAborted()
  const takenIds = ids?.filter((id) => id !== undefined)
  return takenIds?.length === members.length ? takenIds.join(separator) : undefined
}
