/** Cuts the newest snapshot into chunks for one peer, and continues at the offset that the peer reports. */
import type { Snapshot } from '@nettlespur/storage.log'
import type { InstallAnswer, InstallRequest } from './messages.js'
import type { Replica } from './replica.js'

export class SnapshotSender<R> {
  readonly #replica: Replica<R>
  #snapshot: Snapshot | undefined
  #offset = 0

  constructor(replica: Replica<R>) {
    this.#replica = replica
  }

  /** Returns the next chunk, or undefined if there is no snapshot. */
  async createPiece(term: number): Promise<InstallRequest | undefined> {
    const { opts, limits, memberId } = this.#replica
    if (this.#snapshot?.meta.index !== opts.store.snapshotMeta.index) {
      this.#snapshot = await opts.store.readSnapshot()
      this.#offset = 0
    }
    if (this.#snapshot === undefined) return undefined
    const { meta, data } = this.#snapshot
    return {
      term,
      leaderId: memberId,
      snapshotIndex: meta.index,
      snapshotTerm: meta.term,
      membership: meta.membership,
      offset: this.#offset,
      totalBytes: data.length,
      data: data.subarray(this.#offset, this.#offset + limits.snapshotChunkBytes),
    }
  }

  recordAnswer({ nextOffset, installed }: InstallAnswer): void {
    this.#offset = nextOffset
    if (installed) this.#snapshot = undefined
  }
}
