/** Replaces a file as a whole: after a crash at any step either the old or the new one is there. */
import path from 'node:path'
import type { FileSystem, OpenFile } from './fileSystem.js'
import { toUnrecoverableError } from './storageErrors.js'

export const tempSuffix = '.tmp'

/** A file whose content is synced and which has no name yet: to give it one takes no room for content. */
export interface PreparedFile {
  /** Gives it its name, and leaves it open. */
  place(): Promise<OpenFile>
  discard(): Promise<void>
}

export async function writeAside(files: FileSystem, file: string, bytes: Buffer): Promise<void> {
  await (await createSyncedFile(files, file, bytes)).close()
}

/** As `writeAside`, and leaves the file open. */
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
    // A disk that refused the bytes may take them later, under the same name.
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

/** Where such a step fails, it is not known which file is there after a crash. */
async function rethrowUnrecoverable(step: () => Promise<void>): Promise<void> {
  try {
    await step()
  } catch (error) {
    throw toUnrecoverableError(error)
  }
}
