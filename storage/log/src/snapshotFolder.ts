/** The snapshots of one data folder: the newest one and, until it is removed, the one before. */
import path from 'node:path'
import type { FileSystem } from './fileSystem.js'
import type { Snapshot, SnapshotMeta } from './logStore.js'
import type { RecoveredSnapshot } from './recoverSnapshot.js'
import {
  decodeSnapshot,
  encodeSnapshot,
  nameSnapshot,
  parseSnapshotName,
  type StoredSnapshot,
} from './snapshotFile.js'
import { damagedError, toStorageError } from './storageErrors.js'
import { writeAside } from './writeAside.js'

const noSnapshot: SnapshotMeta = { index: 0, term: 0, membership: undefined }

export interface SnapshotFolderOptions {
  readonly files: FileSystem
  readonly folder: string
  readonly base: RecoveredSnapshot
}

export class SnapshotFolder {
  readonly #opts: SnapshotFolderOptions
  #generation: number
  #meta: SnapshotMeta

  constructor(opts: SnapshotFolderOptions) {
    this.#opts = opts
    this.#generation = opts.base.generation
    this.#meta = opts.base.snapshot?.meta ?? noSnapshot
  }

  get generation(): number {
    return this.#generation
  }

  get meta(): SnapshotMeta {
    return this.#meta
  }

  async save(snapshot: Snapshot): Promise<void> {
    await this.#write({ ...snapshot, generation: this.#generation, installed: false })
    await this.removeOlderSnapshots()
  }

  /** Keeps older snapshots until `removeOlderSnapshots` is called. */
  async install(snapshot: Snapshot): Promise<void> {
    await this.#write({ ...snapshot, generation: this.#generation + 1, installed: true })
  }

  /** Starts again if the read failed and a newer snapshot has replaced the one being read. */
  async read(): Promise<Snapshot | undefined> {
    for (;;) {
      const [meta, generation] = [this.#meta, this.#generation]
      if (meta.index === 0) return undefined
      try {
        return await this.#readFile({ index: meta.index, generation })
      } catch (error) {
        if (meta === this.#meta) throw toStorageError(error)
      }
    }
  }

  async #readFile(id: { index: number; generation: number }): Promise<Snapshot> {
    const file = path.join(this.#opts.folder, nameSnapshot(id))
    const stored = decodeSnapshot(await this.#opts.files.readFile(file), id)
    if (stored === undefined) throw damagedError(file, 0, 'bad snapshot')
    return { meta: stored.meta, data: stored.data }
  }

  async #write(snapshot: StoredSnapshot): Promise<void> {
    const { generation, meta } = snapshot
    const file = path.join(this.#opts.folder, nameSnapshot({ generation, index: meta.index }))
    await writeAside(this.#opts.files, file, encodeSnapshot(snapshot))
    this.#generation = generation
    this.#meta = meta
  }

  async removeOlderSnapshots(): Promise<void> {
    const { files, folder } = this.#opts
    const current = nameSnapshot({ generation: this.#generation, index: this.#meta.index })
    const names = await files.listFolder(folder)
    for (const name of names) {
      if (name === current || parseSnapshotName(name) === undefined) continue
      await files.removeFile(path.join(folder, name))
      await files.syncFolder(folder)
    }
  }
}
