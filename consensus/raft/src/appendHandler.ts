/** Handles AppendEntries requests. Entries are synced to disk before they are acknowledged. */
import { NettlespurError, toNettlespurError } from '@nettlespur/core.errors'
import type { LogEntry } from '@nettlespur/storage.log'
import { checkEntry } from './entryPayload.js'
import type { AppendAnswer, AppendRequest } from './messages.js'
import type { Replica } from './replica.js'

/**
 * Errors: rejects with `storage-damaged` if an entry cannot be decoded; no entry of the request is then stored. The
 * error is thrown outside `exclusive`, which would treat it as a failed write and permanently disable this member.
 */
export async function handleAppend<R>(
  replica: Replica<R>,
  request: AppendRequest,
): Promise<AppendAnswer> {
  const answer = await replica.exclusive(() => takeRequest(replica, request))
  if (answer instanceof NettlespurError) throw answer
  return answer
}

async function takeRequest<R>(
  replica: Replica<R>,
  request: AppendRequest,
): Promise<AppendAnswer | NettlespurError> {
  if (!(await acceptLeader(replica, request))) return createAnswer(replica, false, 0)
  const unreadable = findUnreadable(request)
  if (unreadable === undefined) return appendFromLeader(replica, request)
  const { kind, message: reason } = unreadable
  const { logger } = replica.opts
  logger.error({ event: 'raft.entries-refused', leaderId: request.leaderId, kind, reason })
  return unreadable
}

async function appendFromLeader<R>(
  replica: Replica<R>,
  request: AppendRequest,
): Promise<AppendAnswer> {
  const { prevIndex, prevTerm, entries } = request
  const ownTerm = replica.log.termAt(prevIndex)
  const behindSnapshot = prevIndex < replica.opts.store.snapshotMeta.index
  if (!behindSnapshot && ownTerm !== prevTerm) {
    return createAnswer(replica, false, findLastPossibleMatch(replica, prevIndex, ownTerm))
  }
  await takeEntries(replica, request)
  const matchIndex = prevIndex + entries.length
  replica.advanceCommitIndex(Math.min(request.commitIndex, matchIndex))
  return createAnswer(replica, true, matchIndex)
}

/**
 * Checks all entries before any is stored: an entry that cannot be decoded would stop every member once it is
 * committed. Returns undefined if all can be decoded.
 */
function findUnreadable({ prevIndex, entries }: AppendRequest): NettlespurError | undefined {
  try {
    entries.forEach((entry, offset) => {
      checkEntry({ ...entry, index: prevIndex + 1 + offset })
    })
    return undefined
  } catch (thrown) {
    return toNettlespurError(thrown)
  }
}

/**
 * Returns whether the sender is the leader of the current term, after adopting a higher term. If so, also resets the
 * election timeout of this member. Must run within `exclusive`.
 */
export async function acceptLeader<R>(
  replica: Replica<R>,
  { term, leaderId }: { term: number; leaderId: string },
): Promise<boolean> {
  if (term < replica.term) return false
  if (term > replica.term) await replica.adoptTerm(term)
  replica.recordLeaderContact(leaderId)
  return true
}

/**
 * Stores the entries this log does not hold yet, and first truncates a conflicting tail. Entries held already are not
 * truncated: a delayed request must not remove entries that a newer one appended.
 */
async function takeEntries<R>(
  replica: Replica<R>,
  { prevIndex, entries }: AppendRequest,
): Promise<void> {
  const { log, memberships, commitIndex } = replica
  const sent = entries.map((entry, offset) => ({ ...entry, index: prevIndex + 1 + offset }))
  // The log may end before the commit index: a leader whose disk was full never wrote some committed entries.
  const heldIndex = Math.min(commitIndex.value, log.lastIndex)
  const known = (entry: LogEntry): boolean =>
    entry.index <= heldIndex || log.termAt(entry.index) === entry.term
  const from = sent.findIndex((entry) => !known(entry))
  if (from < 0) return
  const fresh = sent.slice(from)
  const firstIndex = prevIndex + 1 + from
  if (firstIndex <= log.lastIndex) {
    memberships.truncateFrom(firstIndex)
    await log.truncateFrom(firstIndex)
  }
  await log.append(fresh)
  for (const entry of fresh) memberships.recordEntry(entry)
}

/** Returns the highest index at which the logs may still match: skips all entries of the conflicting term at once. */
function findLastPossibleMatch<R>(
  { log, commitIndex }: Replica<R>,
  prevIndex: number,
  ownTerm: number | undefined,
): number {
  if (ownTerm === undefined) return Math.min(log.lastIndex, prevIndex - 1)
  let index = prevIndex - 1
  while (index > commitIndex.value && log.termAt(index) === ownTerm) index--
  return index
}

function createAnswer<R>(
  { term, diskId }: Replica<R>,
  accepted: boolean,
  matchIndex: number,
): AppendAnswer {
  return { term, diskId, accepted, matchIndex: Math.max(0, matchIndex) }
}
