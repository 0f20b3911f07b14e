/**
 * What agreement needs of one instance's disk. Nothing counts until the promise of the call that wrote it
 * has resolved: by then it is synced. After a failed sync every later write is refused, since what the disk
 * holds is no longer known.
 */

/** One entry of the log. Indexes count from 1 without gaps. */
export interface LogEntry {
  readonly index: number
  readonly term: number
  readonly payload: Buffer
}

/** The term and vote that must outlive a restart. */
export interface HardState {
  readonly term: number
  readonly votedFor: string | undefined
}

/** A snapshot stands for all entries up to and including `index`. */
export interface SnapshotMeta {
  readonly index: number
  readonly term: number
  /** The membership in force at `index`, in the form agreement gives it. */
  readonly membership: unknown
}

export interface Snapshot {
  readonly meta: SnapshotMeta
  readonly data: Buffer
}

export abstract class LogStore {
  /** Random, made with the data folder: an instance back on an empty disk has another one. */
  abstract readonly diskId: string
  abstract readonly hardState: HardState
  /** Meta of the newest snapshot; index 0 and term 0 where there is none. */
  abstract readonly snapshotMeta: SnapshotMeta
  /** Index of the first entry held; `lastIndex + 1` where none is held. */
  abstract readonly firstIndex: number
  /** Index of the last entry held, or of the snapshot where none is held. */
  abstract readonly lastIndex: number
  /** Term of the last entry held, or of the snapshot. */
  abstract readonly lastTerm: number

  /** Term of an entry held or of the snapshot's last one; undefined outside. */
  abstract termAt(index: number): number | undefined
  /** Entries from `fromIndex` on, at least one where it is held, then up to `bytesMax` of payload. */
  abstract read(fromIndex: number, bytesMax: number): Promise<LogEntry[]>
  /** Appends entries that follow `lastIndex`. Calls in progress together share one sync. Rejects with `disk-full` or `storage-failed`. */
  abstract append(entries: readonly LogEntry[]): Promise<void>
  /** Removes the entry at `index` and all after it. */
  abstract truncateFrom(index: number): Promise<void>
  abstract saveHardState(state: HardState): Promise<void>
  /** Keeps a snapshot and drops the entries it stands for, all but the newest `keepEntries`. */
  abstract saveSnapshot(snapshot: Snapshot, keepEntries: number): Promise<void>
  /** Replaces everything by a snapshot received from a leader. */
  abstract installSnapshot(snapshot: Snapshot): Promise<void>
  abstract readSnapshot(): Promise<Snapshot | undefined>
  abstract close(): Promise<void>
}
