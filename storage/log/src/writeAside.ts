/** Replaces a file as a whole: after a crash at any step either the old or the new one is there. */
import path from 'node:path'
import type { FileSystem, OpenFile } from './fileSystem.js'
import { toFinalError } from './storageErrors.js'

export const asideSuffix = '.tmp'

/** A file whose content is synced and which has no name yet: to give it one takes no room for content. */
export interface FileAside {
  /** Gives it its name, and leaves it open. */
  place(): Promise<OpenFile>
  discard(): Promise<void>
}

export async function writeAside(files: FileSystem, file: string, bytes: Buffer): Promise<void> {
  await (await createAside(files, file, bytes)).close()
}

/** As `writeAside`, and leaves the file open. */
export async function createAside(
  files: FileSystem,
  file: string,
  bytes: Buffer,
): Promise<OpenFile> {
  return (await prepareAside(files, file, bytes)).place()
}

export async function prepareAside(
  files: FileSystem,
  file: string,
  bytes: Buffer,
): Promise<FileAside> {
  const aside = file + asideSuffix
  const opened = await files.createFile(aside)
  const discard = async (): Promise<void> => {
    await opened.close().catch(() => undefined)
    // A disk that refused the bytes may take them later, under the same name.
    await files.removeFile(aside).catch(() => undefined)
  }
  const orDiscard = async (step: () => Promise<void>): Promise<void> => {
    try {
      await step()
    } catch (error) {
      await discard()
      throw error
    }
  }
  await orDiscard(() => opened.write(bytes, 0))
  await orDiscard(() => orFinal(() => opened.sync()))
  const rename = async (): Promise<void> => {
    await files.renameFile(aside, file)
    await files.syncFolder(path.dirname(file))
  }
  const place = async (): Promise<OpenFile> => {
    await orDiscard(() => orFinal(rename))
    return opened
  }
  return { place, discard }
}

/** Where such a step fails, it is not known which file is there after a crash. */
async function orFinal(step: () => Promise<void>): Promise<void> {
  try {
    await step()
  } catch (error) {
    throw toFinalError(error)
  }
}
