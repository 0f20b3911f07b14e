/**
 * The entries that watch this leader, and the contract index that each of them enforces. An entry that
 * cannot renew its contract lease refuses work on its own, so it is dropped here once the lease has expired.
 */
import type { EntryIdentity, WatchRequest } from '@nettlespur/control.api'
import type { Clock } from '@nettlespur/core.clock'
import type { BehaviorSubject } from 'rxjs'

/** Placeholder id for entries that watched a former leader and may enforce old contracts until their leases end. */
export const entriesNotHeardYet = 'entries-not-heard-yet'

export interface EntryTableOptions {
  clock: Clock
  /** Time after an entry's last request by which its lease has certainly expired. */
  dropAfterMs: number
  /** Whether entries may hold a lease from a former leader. */
  mayHaveFormerEntries: boolean
  /** Incremented with each change that entries must learn of. */
  version: BehaviorSubject<number>
}

interface Row {
  readonly entry: EntryIdentity
  readonly contractIndex: number
  readonly heardMs: number
}

export class EntryTable {
  readonly #opts: EntryTableOptions
  readonly #rows = new Map<string, Row>()
  readonly #startMs: number

  constructor(opts: EntryTableOptions) {
    this.#opts = opts
    this.#startMs = opts.clock.monotonicMs()
  }

  /** Records a watch request as a sign of life, or removes an entry that is leaving. */
  recordWatch({ entry, contractIndex, leaving }: WatchRequest): void {
    const former = this.#rows.get(entry.entryId)
    if (leaving) {
      if (this.#rows.delete(entry.entryId)) this.#incrementVersion()
      return
    }
    const heardMs = this.#opts.clock.monotonicMs()
    this.#rows.set(entry.entryId, { entry, contractIndex, heardMs })
    if (JSON.stringify(former?.entry) !== JSON.stringify(entry)) this.#incrementVersion()
  }

  /** Drops entries whose lease has expired; called periodically. */
  refresh(): void {
    const nowMs = this.#opts.clock.monotonicMs()
    for (const [entryId, row] of this.#rows) {
      if (nowMs - row.heardMs < this.#opts.dropAfterMs) continue
      this.#rows.delete(entryId)
      this.#incrementVersion()
    }
  }

  list(): EntryIdentity[] {
    return [...this.#rows.values()].map((row) => row.entry)
  }

  /** Returns false only if this entry certainly holds no lease any more. */
  mayLive(entryId: string): boolean {
    return this.#rows.has(entryId) || this.#mayHaveUnheardEntries()
  }

  listPositions(): { entryId: string; contractIndex: number }[] {
    return [...this.#rows.values()].map(({ entry, contractIndex }) => {
      return { entryId: entry.entryId, contractIndex }
    })
  }

  /** Splits entries into those that enforce the change at `changeIndex` and those that may not do so yet. */
  splitByChange(changeIndex: number): { inForceAt: string[]; notYetInForceAt: string[] } {
    this.refresh()
    const rows = [...this.#rows.values()]
    const inForce = rows.filter((row) => row.contractIndex >= changeIndex)
    const notYet = rows.filter((row) => row.contractIndex < changeIndex)
    const former = this.#mayHaveUnheardEntries() ? [entriesNotHeardYet] : []
    return {
      inForceAt: inForce.map((row) => row.entry.entryId),
      notYetInForceAt: [...notYet.map((row) => row.entry.entryId), ...former],
    }
  }

  #mayHaveUnheardEntries(): boolean {
    const { clock, dropAfterMs, mayHaveFormerEntries } = this.#opts
    return mayHaveFormerEntries && clock.monotonicMs() - this.#startMs < dropAfterMs
  }

  #incrementVersion(): void {
    this.#opts.version.next(this.#opts.version.value + 1)
  }
}
