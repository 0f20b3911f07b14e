/** Applies committed entries to the state machine in log order, and takes snapshots. */
import type { LogEntry } from '@nettlespur/storage.log'
import { decodePayload } from './entryPayload.js'
import type { Proposals } from './proposals.js'
import type { Replica } from './replica.js'
import type { SnapshotMembership } from './snapshotMembership.js'
import { Wake } from '@nettlespur/core.clock'

const idleCheckMs = 60_000

export class ApplyLoop<R> {
  readonly #replica: Replica<R>
  readonly #proposals: Proposals<R>
  readonly #wake = new Wake()
  #entriesSinceSnapshot = 0
  #bytesSinceSnapshot = 0
  /** True while the next committed entry is missing from this log, which is logged once. */
  #isWaiting = false
  #isSaving = false

  constructor(replica: Replica<R>, proposals: Proposals<R>) {
    this.#replica = replica
    this.#proposals = proposals
  }

  /** Replaces the state with that of a snapshot, and rejects the proposals up to its index. */
  restore(index: number, data: Buffer): void {
    const { opts, appliedIndex } = this.#replica
    opts.machine.restore(index, data)
    this.#entriesSinceSnapshot = 0
    this.#bytesSinceSnapshot = 0
    this.#proposals.rejectUpTo(index)
    appliedIndex.next(index)
    this.#replica.advanceCommitIndex(index)
  }

  /** Runs until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { commitIndex, appliedIndex, clock, opts } = this.#replica
    const watching = commitIndex.subscribe(() => {
      this.#wake.notify()
    })
    while (!signal.aborted) {
      const before = appliedIndex.value
      const isBehind = before < commitIndex.value
      if (isBehind) await this.#applyNext()
      if (appliedIndex.value > before) continue
      // A committed entry may be missing here until the leader resends it. Reading again without a pause would repeat
      // about 1,000 times in a moment and starve every other task.
      await this.#wake.wait(clock, isBehind ? opts.timings.heartbeatMs : idleCheckMs, signal)
    }
    watching.unsubscribe()
  }

  async #applyNext(): Promise<void> {
    const { log, limits, appliedIndex, commitIndex } = this.#replica
    const entries = await log.read(appliedIndex.value + 1, limits.batchBytes)
    for (const entry of entries) {
      // A snapshot may have been installed during the read, and the read may extend past the commit index.
      if (entry.index !== appliedIndex.value + 1 || entry.index > commitIndex.value) break
      this.#apply(entry)
    }
    this.#logMissingEntries(entries.length > 0)
    // Not awaited: reads wait for entries to be applied, and while a save hung, only one read in six was answered.
    if (this.#isSnapshotDue() && !this.#isSaving) void this.#tryToTakeSnapshot()
  }

  #logMissingEntries(isHeld: boolean): void {
    const { opts, log, appliedIndex, commitIndex } = this.#replica
    if (!isHeld && !this.#isWaiting) {
      const [applied, committed] = [appliedIndex.value, commitIndex.value]
      opts.logger.warn({ event: 'raft.apply-waits', applied, committed, held: log.lastIndex })
    }
    this.#isWaiting = !isHeld
  }

  #apply(entry: LogEntry): void {
    const { appliedIndex } = this.#replica
    const content = decodePayload(entry.payload)
    if (content.type === 'command') {
      this.#proposals.applied(entry, this.#applyCommand(entry, content.command))
    } else {
      this.#proposals.rejectDisplaced(entry.index)
    }
    this.#entriesSinceSnapshot++
    this.#bytesSinceSnapshot += entry.payload.length
    appliedIndex.next(entry.index)
  }

  #applyCommand(entry: LogEntry, command: Buffer): R {
    const prepared = this.#proposals.findPrepared(entry)
    if (prepared !== undefined) return prepared(entry.index)
    return this.#replica.opts.machine.apply(entry.index, command)
  }

  #isSnapshotDue(): boolean {
    const { snapshotEveryEntries, snapshotEveryBytes } = this.#replica.limits
    return (
      this.#entriesSinceSnapshot >= snapshotEveryEntries ||
      this.#bytesSinceSnapshot >= snapshotEveryBytes
    )
  }

  /** A failed snapshot is only logged: the log keeps growing, and the next attempt waits for the usual interval. */
  async #tryToTakeSnapshot(): Promise<void> {
    this.#isSaving = true
    try {
      await this.#takeSnapshot()
    } catch (cause) {
      this.#replica.opts.logger.warn({ event: 'raft.snapshot-failed', reason: String(cause) })
    }
    this.#isSaving = false
  }

  async #takeSnapshot(): Promise<void> {
    const { opts, appliedIndex, memberships, limits, log } = this.#replica
    const index = appliedIndex.value
    // Followers can commit entries that a leader with a slow disk has not written yet: skip the snapshot until it has.
    if (index > log.writtenIndex) return
    const data = opts.machine.takeSnapshot()
    const membership: SnapshotMembership = {
      membership: memberships.at(index),
      takenAt: opts.clock.now().toISOString(),
    }
    this.#entriesSinceSnapshot = 0
    this.#bytesSinceSnapshot = 0
    const startMs = opts.clock.monotonicMs()
    await this.#replica.exclusive(async () => {
      const term = log.termAt(index)
      if (term === undefined || index <= opts.store.snapshotMeta.index) return
      await opts.store.saveSnapshot({ meta: { index, term, membership }, data }, limits.keepEntries)
      memberships.compact(index)
      const tookMs = Math.round(opts.clock.monotonicMs() - startMs)
      opts.logger.info({ event: 'raft.snapshot-taken', index, bytes: data.length, tookMs })
    })
  }
}
