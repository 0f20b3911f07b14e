/**
 * Selects the newest valid snapshot. A snapshot is renamed to its final name only after it is synced, so an
 * invalid one is damaged, not torn; an older one may replace it only if the log still reaches its index.
 */
import path from 'node:path'
import type { FileSystem } from './fileSystem.js'
import {
  decodeSnapshot,
  nameSnapshot,
  parseSnapshotName,
  type SnapshotId,
  type StoredSnapshot,
} from './snapshotFile.js'
import { damagedError } from './storageErrors.js'

export interface RecoveredSnapshot {
  readonly generation: number
  readonly snapshot: StoredSnapshot | undefined
  /** The newest snapshot, if it is invalid. */
  readonly damaged: { readonly file: string; readonly index: number } | undefined
  /** Older snapshot files, which are obsolete. */
  readonly voidFiles: readonly string[]
}

export async function recoverSnapshot(
  files: FileSystem,
  folder: string,
  names: readonly string[],
): Promise<RecoveredSnapshot> {
  const ids = names.flatMap((name) => parseSnapshotName(name) ?? []).sort(compareNewestFirst)
  const generation = ids[0]?.generation ?? 0
  let damaged: RecoveredSnapshot['damaged']
  for (const id of ids.filter((one) => one.generation === generation)) {
    const file = path.join(folder, nameSnapshot(id))
    const snapshot = decodeSnapshot(await files.readFile(file), id)
    if (snapshot !== undefined) {
      return { generation, snapshot, damaged, voidFiles: listOlderFiles(ids, id, folder) }
    }
    damaged ??= { file, index: id.index }
  }
  if (damaged !== undefined && generation > 0) throw damagedError(damaged.file, 0, 'bad snapshot')
  return { generation, snapshot: undefined, damaged, voidFiles: [] }
}

function listOlderFiles(ids: readonly SnapshotId[], chosen: SnapshotId, folder: string): string[] {
  return ids
    .filter((id) => compareNewestFirst(id, chosen) > 0)
    .map((id) => path.join(folder, nameSnapshot(id)))
}

function compareNewestFirst(left: SnapshotId, right: SnapshotId): number {
  return right.generation - left.generation || right.index - left.index
}
