/**
 * Durable storage that consensus needs on each instance. A write is synced when the promise of its call
 * resolves, and must not be relied on before. After a failed sync every later write is refused, because the
 * contents of the disk are no longer known.
 */

/** One entry of the log. Indexes count from 1 without gaps. */
export interface LogEntry {
  readonly index: number
  readonly term: number
  readonly payload: Buffer
}

/** Term and vote, which must survive a restart. */
export interface HardState {
  readonly term: number
  readonly votedFor: string | undefined
}

/** Metadata of a snapshot, which covers all entries up to and including `index`. */
export interface SnapshotMeta {
  readonly index: number
  readonly term: number
  /** The membership in force at `index`, as encoded by the consensus code. */
  readonly membership: unknown
}

export interface Snapshot {
  readonly meta: SnapshotMeta
  readonly data: Buffer
}

export abstract class LogStore {
  /** Random, created with the data folder: an instance that restarts on an empty disk gets a new one. */
  abstract readonly diskId: string
  abstract readonly hardState: HardState
  /** Metadata of the newest snapshot; index 0 and term 0 if there is none. */
  abstract readonly snapshotMeta: SnapshotMeta
  /** Index of the first entry held; `lastIndex + 1` if none is held. */
  abstract readonly firstIndex: number
  /** Index of the last entry held, or of the snapshot if none is held. */
  abstract readonly lastIndex: number
  /** Term of the last entry held, or of the snapshot if none is held. */
  abstract readonly lastTerm: number

  /** Term of an entry held, or of the last entry that the snapshot covers; undefined for any other index. */
  abstract termAt(index: number): number | undefined
  /** Reads entries from `fromIndex` on, up to `bytesMax` of payload in total, but at least one if it is held. */
  abstract read(fromIndex: number, bytesMax: number): Promise<LogEntry[]>
  /** Appends after `lastIndex`; concurrent calls share one sync. Rejects with `disk-full` or `storage-failed`. */
  abstract append(entries: readonly LogEntry[]): Promise<void>
  /** Removes the entry at `index` and all after it. */
  abstract truncateFrom(index: number): Promise<void>
  abstract saveHardState(state: HardState): Promise<void>
  /** Saves a snapshot and compacts the log: entries that it covers may be dropped, except the newest `keepEntries`. */
  abstract saveSnapshot(snapshot: Snapshot, keepEntries: number): Promise<void>
  /** Replaces the log and the snapshot by a snapshot received from a leader. */
  abstract installSnapshot(snapshot: Snapshot): Promise<void>
  abstract readSnapshot(): Promise<Snapshot | undefined>
  abstract close(): Promise<void>
}
