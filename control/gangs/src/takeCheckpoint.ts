/** Takes a checkpoint of a whole gang within a bounded time; it is valid only if every member took one. */
import type { GangMember } from './gangMember.js'
import type { GangOptions } from './gangOptions.js'

/** Well below the task lease, as no lease is renewed meanwhile. */
export const checkpointTimeoutMs = 5000
/** The checkpoint id of a gang joins those of its members in rank order; any split of the gang can read it. */
const separator = ','

/** Returns undefined if a member took no checkpoint in time. */
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
