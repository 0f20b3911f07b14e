/**
 * The log of one member: the entries in its store, followed by those that it, as leader, replicates while its own
 * write is still pending. The newest entries are cached in memory, so that steady replication does not read the disk.
 */
import { addAll } from '@nettlespur/core.lists'
import type { LogEntry, LogStore, Snapshot } from '@nettlespur/storage.log'

const cacheSlack = 2

export class EntryLog {
  readonly #store: LogStore
  readonly #cachedEntries: number
  /** Consecutive entries that end at `lastIndex`. */
  #cache: LogEntry[] = []
  #writtenIndex: number

  /** Once the cache holds twice `cachedEntries`, it is trimmed to that many; unwritten entries always stay. */
  constructor(store: LogStore, cachedEntries: number) {
    this.#store = store
    this.#cachedEntries = cachedEntries
    this.#writtenIndex = store.lastIndex
  }

  get lastIndex(): number {
    return this.#cache.at(-1)?.index ?? this.#writtenIndex
  }

  get lastTerm(): number {
    return this.#cache.at(-1)?.term ?? this.#store.lastTerm
  }

  /** The last index that is synced to this member's disk. */
  get writtenIndex(): number {
    return this.#writtenIndex
  }

  termAt(index: number): number | undefined {
    return this.#cached(index)?.term ?? this.#store.termAt(index)
  }

  /** Appends an entry in memory only; `flush` writes it to disk. */
  push(term: number, payload: Buffer): LogEntry {
    const entry = { index: this.lastIndex + 1, term, payload }
    this.#cache.push(entry)
    return entry
  }

  /** Writes unwritten entries, up to `bytesMax` of payload but at least one. Errors: rejects as the store does. */
  async flush(bytesMax: number): Promise<void> {
    const waiting = this.#cache.filter((entry) => entry.index > this.#writtenIndex)
    const batch = takeBytes(waiting, bytesMax)
    const last = batch.at(-1)
    if (last === undefined) return
    await this.#store.append(batch)
    this.#writtenIndex = last.index
    this.#trim()
  }

  /** Drops the unwritten entries after `keptIndex`. */
  discardUnwritten(keptIndex: number): void {
    this.#cutAfter(Math.max(this.#writtenIndex, keptIndex))
  }

  /** Errors: rejects as the store does. */
  async append(entries: readonly LogEntry[]): Promise<void> {
    await this.#store.append(entries)
    addAll(this.#cache, entries)
    this.#writtenIndex = this.lastIndex
    this.#trim()
  }

  /** Errors: rejects as the store does. */
  async truncateFrom(index: number): Promise<void> {
    await this.#store.truncateFrom(index)
    this.#cutAfter(index - 1)
    this.#writtenIndex = this.#store.lastIndex
  }

  /** Reads entries from `fromIndex` on, up to `bytesMax` of payload but at least one if there is any. */
  async read(fromIndex: number, bytesMax: number): Promise<LogEntry[]> {
    const first = this.#cache[0]
    if (first === undefined || first.index > fromIndex) {
      return this.#store.read(fromIndex, bytesMax)
    }
    return takeBytes(this.#cache.slice(fromIndex - first.index), bytesMax)
  }

  async install(snapshot: Snapshot): Promise<void> {
    await this.#store.installSnapshot(snapshot)
    this.#cache = []
    this.#writtenIndex = this.#store.lastIndex
  }

  /** Resets to what the store holds, after a failed write; drops the unwritten entries. */
  reload(): void {
    this.#cache = []
    this.#writtenIndex = this.#store.lastIndex
  }

  #cached(index: number): LogEntry | undefined {
    const first = this.#cache[0]
    return first === undefined ? undefined : this.#cache[index - first.index]
  }

  #cutAfter(index: number): void {
    while ((this.#cache.at(-1)?.index ?? 0) > index) this.#cache.pop()
  }

  #trim(): void {
    if (this.#cache.length < this.#cachedEntries * cacheSlack) return
    const first = this.#cache[0]?.index ?? 0
    const written = this.#writtenIndex - first + 1
    this.#cache.splice(0, Math.min(written, this.#cache.length - this.#cachedEntries))
  }
}

function takeBytes(entries: readonly LogEntry[], bytesMax: number): LogEntry[] {
  const taken: LogEntry[] = []
  let bytes = 0
  for (const entry of entries) {
    bytes += entry.payload.length
    if (taken.length > 0 && bytes > bytesMax) break
    taken.push(entry)
  }
  return taken
}
