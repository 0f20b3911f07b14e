/**
 * Picks the newest snapshot that is whole. A snapshot gets its name only once it is synced, so one that does
 * not read back is damage; an older one may stand in for it only where the log still reaches as far.
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
  /** The newest of those that do not read back. */
  readonly damaged: { readonly file: string; readonly index: number } | undefined
  /** Files that the chosen one makes void. */
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
