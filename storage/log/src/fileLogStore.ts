/**
 * Log store on the files of one data folder. Entries are records in the frames of segments; hard state, disk
 * identity and snapshots are files that are replaced atomically. See docs/design/storage.md.
 *
 * Appended entries are visible to readers and in `lastIndex` at once, so that further appends can follow; they
 * are durable when the promise of `append` resolves. `hardState` and `snapshotMeta` change only once durable.
 * After a failed write the store goes back to its durable state, and is read-only unless the disk was full.
 */
import path from 'node:path'
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import { CommitQueue } from './commitQueue.js'
import type { FileSystem } from './fileSystem.js'
import { FolderLock } from './folderLock.js'
import { appendEntries, truncateEntries } from './logChange.js'
import { LogIndex } from './logIndex.js'
import { LogStore, type HardState, type LogEntry, type Snapshot } from './logStore.js'
import { NodeFileSystem } from './nodeFileSystem.js'
import { readEntries } from './readEntries.js'
import { recoverFolder, type RecoveredFolder } from './recoverFolder.js'
import { SegmentedLog } from './segmentedLog.js'
import { hardStateFile, writeSmallFile } from './smallFile.js'
import { SnapshotFolder } from './snapshotFolder.js'
import { assertValidCall, toStorageError } from './storageErrors.js'

const defaultSegmentBytesMax = 4 * 1024 * 1024
const defaultBatchBytesMax = 1024 * 1024

export interface FileLogStoreOptions {
  /** The data folder; created if it is missing. */
  readonly folder: string
  readonly clock: Clock
  readonly logger: Logger
  /** Whether to lock the folder; true by default. False if the platform runs one process at a time and hides others. */
  readonly locksFolder?: boolean
  /** The operating system's file system by default. */
  readonly files?: FileSystem
  /** Maximum size of a segment; only a single batch above it makes a larger one. 4 MiB by default. */
  readonly segmentBytesMax?: number
  /** Maximum size of a batch of log changes that share one sync. 1 MiB by default. */
  readonly batchBytesMax?: number
}

interface FileLogStoreParts {
  readonly opts: FileLogStoreOptions
  readonly files: FileSystem
  readonly lock: FolderLock | undefined
  readonly recovered: RecoveredFolder
}

export class FileLogStore extends LogStore {
  readonly diskId: string
  readonly #folder: string
  readonly #files: FileSystem
  readonly #lock: FolderLock | undefined
  readonly #log: SegmentedLog
  readonly #snapshots: SnapshotFolder
  readonly #queue: CommitQueue
  #index: LogIndex
  #hardState: HardState
  /** Truncation is refused up to this index, because a snapshot that is saved or queued covers these entries. */
  #requestedSnapshotIndex: number
  #isInstalling = false
  #closed: Promise<void> | undefined

  private constructor({ opts, files, lock, recovered }: FileLogStoreParts) {
    super()
    const { base, log } = recovered
    this.diskId = recovered.diskId
    this.#folder = opts.folder
    this.#files = files
    this.#lock = lock
    this.#hardState = recovered.hardState
    this.#index = log.index
    this.#snapshots = new SnapshotFolder({ files, folder: opts.folder, base })
    this.#requestedSnapshotIndex = this.snapshotMeta.index
    this.#log = new SegmentedLog({
      files,
      folder: opts.folder,
      segmentBytesMax: opts.segmentBytesMax ?? defaultSegmentBytesMax,
      segments: log.segments,
      nextIndex: log.index.nextIndex,
    })
    this.#queue = new CommitQueue({
      logger: opts.logger,
      batchBytesMax: opts.batchBytesMax ?? defaultBatchBytesMax,
      write: (changes) => this.#log.write(changes),
      cutTail: () => this.#log.cutTail(),
    })
  }

  /** Rejects with `storage-damaged`, `disk-full` or `storage-failed`, the last also if the folder is in use. */
  static async open(opts: FileLogStoreOptions): Promise<FileLogStore> {
    const files = opts.files ?? new NodeFileSystem()
    const startMs = opts.clock.monotonicMs()
    let lock: FolderLock | undefined
    try {
      await files.makeFolder(opts.folder)
      await files.syncFolder(path.dirname(opts.folder))
      if (opts.locksFolder !== false) lock = await FolderLock.acquire(files, opts.folder)
      const recovered = await recoverFolder({ files, folder: opts.folder, logger: opts.logger })
      const store = new FileLogStore({ opts, files, lock, recovered })
      opts.logger.info({
        event: 'storage.opened',
        diskId: store.diskId,
        firstIndex: store.firstIndex,
        lastIndex: store.lastIndex,
        snapshotIndex: store.snapshotMeta.index,
        sizeBytes: store.#log.sizeBytes,
        durationMs: Math.round(opts.clock.monotonicMs() - startMs),
      })
      return store
    } catch (error) {
      await lock?.release().catch(() => undefined)
      throw toStorageError(error)
    }
  }

  get hardState(): HardState {
    return this.#hardState
  }

  get snapshotMeta(): Snapshot['meta'] {
    return this.#snapshots.meta
  }

  get firstIndex(): number {
    return this.#index.firstIndex
  }

  get lastIndex(): number {
    return this.#index.nextIndex - 1
  }

  get lastTerm(): number {
    return this.termAt(this.lastIndex) ?? this.snapshotMeta.term
  }

  /** Size of all segments, without the snapshot. */
  get logSizeBytes(): number {
    return this.#log.sizeBytes
  }

  termAt(index: number): number | undefined {
    const { index: snapshotIndex, term } = this.snapshotMeta
    return this.#index.get(index)?.term ?? (index === snapshotIndex ? term : undefined)
  }

  read(fromIndex: number, bytesMax: number): Promise<LogEntry[]> {
    return readEntries(this.#index, fromIndex, bytesMax)
  }

  async append(entries: readonly LogEntry[]): Promise<void> {
    this.#checkLogWritable()
    if (entries.length === 0) return this.#waitForEarlier()
    entries.forEach((entry, position) => {
      assertValidCall(entry.index === this.#index.nextIndex + position, `gap before ${entry.index}`)
    })
    await this.#queue.add(appendEntries(this.#index, entries))
  }

  async truncateFrom(index: number): Promise<void> {
    this.#checkLogWritable()
    if (index > this.lastIndex) return this.#waitForEarlier()
    assertValidCall(index > this.#requestedSnapshotIndex, `a snapshot covers entry ${index}`)
    await this.#queue.add(truncateEntries(this.#index, index))
  }

  async saveHardState({ term, votedFor }: HardState): Promise<void> {
    this.#checkWritable()
    await this.#queue.add(async () => {
      await writeSmallFile(this.#files, this.#folder, hardStateFile, { term, votedFor })
      this.#hardState = { term, votedFor }
    })
  }

  /** Writes nothing if a snapshot at least as new is saved or queued, or one is being installed. */
  async saveSnapshot(snapshot: Snapshot, keepEntries: number): Promise<void> {
    this.#checkWritable()
    const { index, term } = snapshot.meta
    if (this.#isInstalling || index <= this.#requestedSnapshotIndex) return this.#waitForEarlier()
    assertValidCall(this.termAt(index) === term, `no entry ${index} of term ${term} to snapshot`)
    this.#requestedSnapshotIndex = index
    try {
      await this.#queue.add(async () => {
        await this.#snapshots.save(snapshot)
        await this.#log.compact(this.#index, index - keepEntries + 1)
      })
    } catch (error) {
      this.#requestedSnapshotIndex = this.snapshotMeta.index
      throw error
    }
  }

  /** Until it resolves, appends and truncations are refused. */
  async installSnapshot(snapshot: Snapshot): Promise<void> {
    this.#checkLogWritable()
    this.#isInstalling = true
    try {
      await this.#queue.add(() => this.#install(snapshot))
    } finally {
      this.#isInstalling = false
    }
  }

  readSnapshot(): Promise<Snapshot | undefined> {
    return this.#snapshots.read()
  }

  close(): Promise<void> {
    this.#closed ??= this.#close()
    return this.#closed
  }

  /** The rename of the snapshot file commits it: all segments of older generations become obsolete. */
  async #install(snapshot: Snapshot): Promise<void> {
    const { index } = snapshot.meta
    await this.#log.startGeneration(this.#snapshots.generation + 1, index + 1, async () => {
      await this.#snapshots.install(snapshot)
      this.#index = new LogIndex(index + 1)
      this.#requestedSnapshotIndex = index
    })
    await this.#snapshots.removeOlderSnapshots()
  }

  async #close(): Promise<void> {
    await this.#queue.drain()
    try {
      if (this.#queue.failure === undefined && !this.#queue.isFull) await this.#log.seal()
    } finally {
      await this.#log.close()
      await this.#lock?.release()
    }
  }

  /** A call without a change of its own must not resolve before the queued writes that it relies on are durable. */
  #waitForEarlier(): Promise<void> {
    return this.#queue.add(() => Promise.resolve())
  }

  #checkWritable(): void {
    if (this.#queue.failure !== undefined) throw this.#queue.failure
    assertValidCall(this.#closed === undefined, 'the store is closed')
  }

  #checkLogWritable(): void {
    this.#checkWritable()
    assertValidCall(!this.#isInstalling, 'a snapshot is being installed')
  }
}
