/**
 * The membership entries of the log. The newest one is in force as soon as it is appended, committed or not; truncating
 * the log reverts to the one before.
 */
import type { LogEntry } from '@nettlespur/storage.log'
import { decodePayload, holdsMembership } from './entryPayload.js'
import type { Membership } from './member.js'

interface MembershipRecord {
  readonly index: number
  readonly membership: Membership
}

export class MembershipHistory {
  #records: MembershipRecord[]

  constructor(index: number, membership: Membership) {
    this.#records = [{ index, membership }]
  }

  get latest(): Membership {
    return this.#last.membership
  }

  /** Log index of the latest membership; 0 if it is the initial one from the options. */
  get latestIndex(): number {
    return this.#last.index
  }

  /** The membership in force at `index`. */
  at(index: number): Membership {
    return (this.#records.findLast((record) => record.index <= index) ?? this.#first).membership
  }

  /** Records `entry` if it holds a membership; ignores other entries. */
  recordEntry(entry: LogEntry): void {
    if (!holdsMembership(entry.payload)) return
    const content = decodePayload(entry.payload)
    if (content.type !== 'membership') return
    this.#records.push({ index: entry.index, membership: content.membership })
  }

  truncateFrom(index: number): void {
    const kept = this.#records.filter((record) => record.index < index)
    if (kept.length > 0) this.#records = kept
  }

  /** Drops the memberships before a snapshot at `index`, except the one in force there. */
  compact(index: number): void {
    const first = { index, membership: this.at(index) }
    this.#records = [first, ...this.#records.filter((record) => record.index > index)]
  }

  reset(index: number, membership: Membership): void {
    this.#records = [{ index, membership }]
  }

  get #first(): MembershipRecord {
    const [first] = this.#records
    if (first === undefined) throw new Error('there is no membership')
    return first
  }

  get #last(): MembershipRecord {
    return this.#records.at(-1) ?? this.#first
  }
}
