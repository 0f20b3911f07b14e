/** Replaces files atomically by renaming a temporary file: a crash at any step leaves the old or the new one. */
import path from 'node:path'
import type { FileSystem, OpenFile } from './fileSystem.js'
import { toUnrecoverableError } from './storageErrors.js'

export const tempSuffix = '.tmp'

/** A file that is written and synced under a temporary name, so that renaming it needs no disk space for content. */
export interface PreparedFile {
  /** Renames the file to its final name, and returns it open. */
  place(): Promise<OpenFile>
  discard(): Promise<void>
}

export async function writeAside(files: FileSystem, file: string, bytes: Buffer): Promise<void> {
  await (await createSyncedFile(files, file, bytes)).close()
}

/** Like `writeAside`, but leaves the file open. */
export async function createSyncedFile(
  files: FileSystem,
  file: string,
  bytes: Buffer,
): Promise<OpenFile> {
  return (await prepareFile(files, file, bytes)).place()
}

export async function prepareFile(
  files: FileSystem,
  file: string,
  bytes: Buffer,
): Promise<PreparedFile> {
  const aside = file + tempSuffix
  const opened = await files.createFile(aside)
  const discard = async (): Promise<void> => {
    await opened.close().catch(() => undefined)
    // Frees the temporary name: after a full disk the same write may be tried again.
    await files.removeFile(aside).catch(() => undefined)
  }
  const discardOnError = async (step: () => Promise<void>): Promise<void> => {
    try {
      await step()
    } catch (error) {
      await discard()
      throw error
    }
  }
  await discardOnError(() => opened.write(bytes, 0))
  await discardOnError(() => rethrowUnrecoverable(() => opened.sync()))
  const rename = async (): Promise<void> => {
    await files.renameFile(aside, file)
    await files.syncFolder(path.dirname(file))
  }
  const place = async (): Promise<OpenFile> => {
    await discardOnError(() => rethrowUnrecoverable(rename))
    return opened
  }
  return { place, discard }
}

/** Makes a failure final: after a failed sync or rename it is unknown which file a crash would leave. */
async function rethrowUnrecoverable(step: () => Promise<void>): Promise<void> {
  try {
    await step()
  } catch (error) {
    throw toUnrecoverableError(error)
  }
}
