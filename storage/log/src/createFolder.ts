/**
 * Initialises a data folder. The disk identity is written last and marks the folder as complete; if a crash
 * came before that, initialisation starts again.
 */
import { randomUUID } from 'node:crypto'
import path from 'node:path'
import type { FileSystem } from './fileSystem.js'
import { Segment } from './segment.js'
import { parseSegmentName, segmentHeaderBytes } from './segmentHeader.js'
import { diskIdFile, hardStateFile, writeSmallFile } from './smallFile.js'
import { parseSnapshotName } from './snapshotFile.js'
import { damagedError } from './storageErrors.js'

const firstSegment = { generation: 0, number: 1, firstIndex: 1 }

/** Does nothing if the folder is complete. Rejects with `storage-damaged` if it holds state but no disk identity. */
export async function createFolder(
  files: FileSystem,
  folder: string,
  names: readonly string[],
): Promise<void> {
  if (names.includes(diskIdFile)) return
  for (const name of names) {
    if (await hasState(files, folder, name)) {
      throw damagedError(path.join(folder, diskIdFile), 0, `missing, but ${name} exists`)
    }
  }
  await writeSmallFile(files, folder, hardStateFile, { term: 0 })
  const segment = await Segment.create(files, folder, firstSegment)
  await segment.retire()
  await writeSmallFile(files, folder, diskIdFile, { diskId: randomUUID() })
}

async function hasState(files: FileSystem, folder: string, name: string): Promise<boolean> {
  if (parseSnapshotName(name) !== undefined) return true
  if (parseSegmentName(name) === undefined) return false
  const bytes = await files.readFile(path.join(folder, name))
  return bytes.length !== segmentHeaderBytes
}
