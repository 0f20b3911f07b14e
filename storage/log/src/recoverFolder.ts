/** Recovers the last durable state of a data folder, or rejects if the folder is damaged. */
import path from 'node:path'
import type { Logger } from '@nettlespur/core.logger'
import { createFolder } from './createFolder.js'
import type { FileSystem } from './fileSystem.js'
import type { HardState } from './logStore.js'
import { recoverLog, type RecoveredLog } from './recoverLog.js'
import { recoverSnapshot, type RecoveredSnapshot } from './recoverSnapshot.js'
import { Segment } from './segment.js'
import {
  diskIdFile,
  diskIdSchema,
  hardStateFile,
  hardStateSchema,
  readSmallFile,
} from './smallFile.js'
import { tempSuffix } from './writeAside.js'

export interface RecoverFolderOptions {
  readonly files: FileSystem
  readonly folder: string
  readonly logger: Logger
}

export interface RecoveredFolder {
  readonly diskId: string
  readonly hardState: HardState
  readonly base: RecoveredSnapshot
  readonly log: RecoveredLog
}

/** Everything that it returns is durable: names and contents are synced before it resolves. */
export async function recoverFolder(opts: RecoverFolderOptions): Promise<RecoveredFolder> {
  const { files, folder } = opts
  await files.syncFolder(folder)
  await removeFiles(opts, await listTempFiles(opts))
  await createFolder(files, folder, await files.listFolder(folder))
  const names = await files.listFolder(folder)
  const { diskId } = await readSmallFile(files, folder, diskIdFile, diskIdSchema)
  const { term, votedFor } = await readSmallFile(files, folder, hardStateFile, hardStateSchema)
  const base = await recoverSnapshot(files, folder, names)
  const log = await recoverLog({ files, folder, names, base })
  try {
    await repairLogTail(opts, base, log)
    await removeFiles(opts, [...base.voidFiles, ...log.voidFiles])
  } catch (error) {
    for (const segment of log.segments) await segment.retire()
    throw error
  }
  if (base.damaged !== undefined) {
    opts.logger.warn({ event: 'storage.snapshotDamaged', ...base.damaged })
  }
  return { diskId, hardState: { term, votedFor }, base, log }
}

/** Truncates a torn tail and seals the log. Creates the first segment if a crash came before its creation. */
async function repairLogTail(
  opts: RecoverFolderOptions,
  { generation }: RecoveredSnapshot,
  log: RecoveredLog,
): Promise<void> {
  const last = log.segments.at(-1)
  if (last === undefined) {
    const firstIndex = log.index.nextIndex
    const id = { generation, number: 1, firstIndex }
    log.segments.push(await Segment.create(opts.files, opts.folder, id))
    return
  }
  await last.cutTail()
  if (log.tornTail !== undefined) {
    opts.logger.warn({ event: 'storage.tornTailCut', ...log.tornTail })
  }
  await last.seal()
}

/** Lists temporary files that were left by a crash before they were renamed. */
async function listTempFiles({ files, folder }: RecoverFolderOptions): Promise<string[]> {
  const names = await files.listFolder(folder)
  return names.filter((name) => name.endsWith(tempSuffix)).map((name) => path.join(folder, name))
}

async function removeFiles(
  { files, folder }: RecoverFolderOptions,
  removed: readonly string[],
): Promise<void> {
  for (const file of removed) {
    await files.removeFile(file)
    await files.syncFolder(folder)
  }
}
