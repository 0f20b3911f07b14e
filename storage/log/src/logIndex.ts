/** In-memory index of the log: the place of each entry, in a segment or in memory until it is durable. */
import type { Segment } from './segment.js'

export interface IndexedEntry {
  readonly term: number
  place: EntryPlace
}

export type EntryPlace =
  | { readonly payload: Buffer }
  | { readonly segment: Segment; readonly offsetBytes: number; readonly lengthBytes: number }

export class LogIndex {
  #firstIndex: number
  #entries: IndexedEntry[] = []

  constructor(firstIndex: number) {
    this.#firstIndex = firstIndex
  }

  get firstIndex(): number {
    return this.#firstIndex
  }

  /** The index that the next entry gets. */
  get nextIndex(): number {
    return this.#firstIndex + this.#entries.length
  }

  get(index: number): IndexedEntry | undefined {
    return this.#entries[index - this.#firstIndex]
  }

  append(entries: readonly IndexedEntry[]): void {
    for (const entry of entries) this.#entries.push(entry)
  }

  /** Removes the entry at `index` and all after it, and returns them. */
  truncateFrom(index: number): IndexedEntry[] {
    if (index < this.#firstIndex) this.#firstIndex = index
    return this.#entries.splice(index - this.#firstIndex)
  }

  /** Drops the leading entries that are stored in `segment`. */
  dropSegment(segment: Segment): void {
    const kept = this.#entries.findIndex((entry) => !isInSegment(entry, segment))
    const dropped = kept === -1 ? this.#entries.length : kept
    this.#entries.splice(0, dropped)
    this.#firstIndex += dropped
  }
}

function isInSegment(entry: IndexedEntry, segment: Segment): boolean {
  return 'segment' in entry.place && entry.place.segment === segment
}
