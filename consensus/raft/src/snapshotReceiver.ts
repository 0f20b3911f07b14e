/**
 * Receives a snapshot in chunks and installs it. The chunks are kept until another snapshot begins, so that an
 * interrupted transfer resumes where it stopped.
 */
import { acceptLeader } from './appendHandler.js'
import type { InstallAnswer, InstallRequest } from './messages.js'
import type { Replica } from './replica.js'
import { snapshotMembershipSchema } from './snapshotMembership.js'

interface PartialSnapshot {
  readonly index: number
  readonly term: number
  readonly totalBytes: number
  readonly pieces: Buffer[]
  bytes: number
}

export class SnapshotReceiver<R> {
  readonly #replica: Replica<R>
  readonly #restore: (index: number, data: Buffer) => void
  #partial: PartialSnapshot | undefined

  constructor(replica: Replica<R>, restore: (index: number, data: Buffer) => void) {
    this.#replica = replica
    this.#restore = restore
  }

  handle(request: InstallRequest): Promise<InstallAnswer> {
    const replica = this.#replica
    return replica.exclusive(async () => {
      const leads = await acceptLeader(replica, request)
      if (!leads) return this.#answer(0, false)
      if (await this.#commitIfHeld(request)) return this.#answer(request.totalBytes, true)
      const partial = this.#addPiece(request)
      if (partial.bytes < partial.totalBytes) return this.#answer(partial.bytes, false)
      await this.#install(request, Buffer.concat(partial.pieces))
      return this.#answer(request.totalBytes, true)
    })
  }

  /**
   * Returns true, without a need to install, if the snapshot's last entry is committed or held here; advances the
   * commit index to it. The log keeps the entries after it, as they may have been acknowledged.
   */
  async #commitIfHeld({ snapshotIndex, snapshotTerm }: InstallRequest): Promise<boolean> {
    const { log, commitIndex } = this.#replica
    if (snapshotIndex <= commitIndex.value) return true
    if (log.termAt(snapshotIndex) !== snapshotTerm) return false
    this.#replica.advanceCommitIndex(snapshotIndex)
    return Promise.resolve(true)
  }

  #addPiece({
    snapshotIndex,
    snapshotTerm,
    totalBytes,
    offset,
    data,
  }: InstallRequest): PartialSnapshot {
    let partial = this.#partial
    const same =
      partial?.index === snapshotIndex &&
      partial.term === snapshotTerm &&
      partial.totalBytes === totalBytes
    if (partial === undefined || !same) {
      partial = { index: snapshotIndex, term: snapshotTerm, totalBytes, pieces: [], bytes: 0 }
      this.#partial = partial
    }
    if (offset === partial.bytes) {
      partial.pieces.push(data)
      partial.bytes += data.length
    }
    return partial
  }

  async #install(request: InstallRequest, data: Buffer): Promise<void> {
    const replica = this.#replica
    const { snapshotIndex: index, snapshotTerm: term } = request
    const membership = snapshotMembershipSchema.parse(request.membership)
    this.#partial = undefined
    await replica.log.install({ meta: { index, term, membership }, data })
    replica.memberships.reset(index, membership.membership)
    this.#restore(index, data)
    replica.opts.logger.info({ event: 'raft.snapshot-installed', index, bytes: data.length })
  }

  #answer(nextOffset: number, installed: boolean): InstallAnswer {
    const { term, diskId } = this.#replica
    return { term, diskId, nextOffset, installed }
  }
}
