/** A log store on a MemoryDisk. A write takes time, and a crash before its end may lose it. */
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import {
  LogStore,
  type HardState,
  type LogEntry,
  type Snapshot,
  type SnapshotMeta,
} from '@nettlespur/storage.log'
import type { MemoryDisk } from './memoryDisk.js'

const maxSyncMs = 8
/** Extra time of a slow sync: a crash within it can lose entries that peers have stored already. */
const slowSyncMs = 500
const neverMs = 1e12

export class MemoryLogStore extends LogStore {
  /** Whether `append` rejects with `disk-full`. */
  isFull = false
  /** Share of syncs, from 0 to 1, that take `slowSyncMs` longer. */
  slowShare = 0
  readonly #disk: MemoryDisk
  readonly #clock: Clock
  readonly #random: () => number
  #pendingWrite: (() => void) | undefined
  #crashed = false

  constructor(disk: MemoryDisk, clock: Clock, random: () => number) {
    super()
    this.#disk = disk
    this.#clock = clock
    this.#random = random
  }

  get diskId(): string {
    return this.#disk.diskId
  }

  get hardState(): HardState {
    return this.#disk.hardState
  }

  get snapshotMeta(): SnapshotMeta {
    return this.#disk.snapshot?.meta ?? { index: 0, term: 0, membership: undefined }
  }

  get firstIndex(): number {
    return this.#disk.entries[0]?.index ?? this.lastIndex + 1
  }

  get lastIndex(): number {
    return this.#disk.entries.at(-1)?.index ?? this.snapshotMeta.index
  }

  get lastTerm(): number {
    return this.#disk.entries.at(-1)?.term ?? this.snapshotMeta.term
  }

  termAt(index: number): number | undefined {
    if (index === this.snapshotMeta.index) return this.snapshotMeta.term
    return this.#disk.entries[index - this.firstIndex]?.term
  }

  read(fromIndex: number, bytesMax: number): Promise<LogEntry[]> {
    const read: LogEntry[] = []
    let bytes = 0
    for (const entry of this.#disk.entries.slice(Math.max(0, fromIndex - this.firstIndex))) {
      bytes += entry.payload.length
      if (read.length > 0 && bytes > bytesMax) break
      read.push(entry)
    }
    return Promise.resolve(read)
  }

  append(entries: readonly LogEntry[]): Promise<void> {
    if (this.isFull) return Promise.reject(new NettlespurError('disk-full', 'no space left'))
    return this.#write(() => {
      for (const entry of entries) {
        if (entry.index !== this.lastIndex + 1) throw new Error(`a gap before ${entry.index}`)
        this.#disk.entries.push(entry)
      }
    })
  }

  truncateFrom(index: number): Promise<void> {
    return this.#write(() => {
      this.#disk.entries = this.#disk.entries.filter((entry) => entry.index < index)
    })
  }

  saveHardState(state: HardState): Promise<void> {
    return this.#write(() => {
      this.#disk.hardState = state
    })
  }

  saveSnapshot(snapshot: Snapshot, keepEntries: number): Promise<void> {
    return this.#write(() => {
      const first = snapshot.meta.index - keepEntries + 1
      this.#disk.snapshot = snapshot
      this.#disk.entries = this.#disk.entries.filter((entry) => entry.index >= first)
    })
  }

  installSnapshot(snapshot: Snapshot): Promise<void> {
    return this.#write(() => {
      this.#disk.snapshot = snapshot
      this.#disk.entries = []
    })
  }

  readSnapshot(): Promise<Snapshot | undefined> {
    return Promise.resolve(this.#disk.snapshot)
  }

  close(): Promise<void> {
    return Promise.resolve()
  }

  /** The pending write is lost, or reaches the disk without being confirmed; later writes never end. */
  crash(): void {
    this.#crashed = true
    if (this.#random() < 0.5) this.#pendingWrite?.()
  }

  async #write(change: () => void): Promise<void> {
    this.#pendingWrite = change
    const slowMs = this.#random() < this.slowShare ? slowSyncMs : 0
    await this.#clock.sleep(this.#random() * maxSyncMs + slowMs)
    if (this.#crashed) await this.#clock.sleep(neverMs)
    this.#pendingWrite = undefined
    change()
  }
}
