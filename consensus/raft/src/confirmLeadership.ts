/**
 * Makes reads linearizable: confirms that this member still leads and that it has applied every entry committed before
 * the read. With a valid lease no request is needed: a voter that answered does not help to elect another leader for
 * an election timeout of its own clock. The lease is counted from when the answered request was sent, and allows for
 * clocks that drift apart by up to `clockDriftShare`.
 */
import { waitFor } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import { startWith } from 'rxjs'
import { createNoQuorum, type Leader } from './leader.js'
import type { ReadStep } from './slowReadLogger.js'

const clockDriftShare = 0.1

/** Errors: rejects with `no-quorum` and `not-leader`. */
export async function confirmLeadership<R>(leader: Leader<R>): Promise<void> {
  const { clock, opts } = leader.replica
  const startMs = clock.monotonicMs()
  const { step, confirmed } = await confirm(leader)
  const tookMs = clock.monotonicMs() - startMs
  if (!confirmed) leader.slowReadLogger.note({ outcome: 'refused', step, tookMs })
  else if (tookMs > opts.timings.heartbeatMs)
    leader.slowReadLogger.note({ outcome: 'slow', step, tookMs })
  if (!confirmed) throw refuse(leader)
}

/** Returns the step that failed or, if the leadership was confirmed, the step that took longest. */
async function confirm<R>(leader: Leader<R>): Promise<{ step: ReadStep; confirmed: boolean }> {
  const { clock, commitIndex, appliedIndex, opts } = leader.replica
  const timeoutMs = opts.timings.electionTimeoutMs
  const isKnown = (index: number): boolean => index >= leader.firstIndex
  const commits = leader.whileLeading(commitIndex)
  const startMs = clock.monotonicMs()
  if (!(await waitFor(clock, commits, isKnown, { timeoutMs }))) return fail('commit')
  const readIndex = commitIndex.value
  const committedMs = clock.monotonicMs()
  if (!holdsLease(leader) && !(await askQuorum(leader))) return fail('quorum')
  const confirmedMs = clock.monotonicMs()
  const isApplied = (index: number): boolean => index >= readIndex
  if (!(await waitFor(clock, appliedIndex, isApplied, { timeoutMs }))) return fail('apply')
  const steps: [ReadStep, number][] = [
    ['commit', committedMs - startMs],
    ['quorum', confirmedMs - committedMs],
    ['apply', clock.monotonicMs() - confirmedMs],
  ]
  const [longest] = steps.sort(([, left], [, right]) => right - left)
  return { step: longest?.[0] ?? 'quorum', confirmed: true }
}

function fail(step: ReadStep): { step: ReadStep; confirmed: false } {
  return { step, confirmed: false }
}

function holdsLease<R>(leader: Leader<R>): boolean {
  const { clock, opts } = leader.replica
  if (opts.leaseReads === false) return false
  if (leader.ended.aborted || !leader.canHoldLease) return false
  const nowMs = clock.monotonicMs()
  const sentMs = leader.pickQuorum(nowMs, (progress) => progress.ackedSentMs)
  return nowMs - sentMs < opts.timings.electionTimeoutMs * (1 - clockDriftShare)
}

/** Returns whether a quorum answers requests sent after this call, within an election timeout. */
async function askQuorum<R>(leader: Leader<R>): Promise<boolean> {
  const { clock, opts } = leader.replica
  const sequence = leader.allocateSequence()
  const isAnswered = (): boolean =>
    leader.pickQuorum(Infinity, (progress) => progress.ackedSequence) > sequence
  leader.wakePeers()
  const answers = leader.whileLeading(leader.answers.pipe(startWith(undefined)))
  const { electionTimeoutMs: timeoutMs } = opts.timings
  const answered = await waitFor(clock, answers, isAnswered, { timeoutMs })
  return answered && !leader.ended.aborted
}

function refuse<R>(leader: Leader<R>): NettlespurError {
  if (!leader.ended.aborted) return createNoQuorum('no majority of the voters answers')
  return new NettlespurError('not-leader', 'this instance no longer leads', { retryAfterMs: 250 })
}
