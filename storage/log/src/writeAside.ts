/** Replaces a file as a whole: after a crash at any step either the old or the new one is there. */
import path from 'node:path'
import type { FileSystem, OpenFile } from './fileSystem.js'
import { toFinalError } from './storageErrors.js'

export const asideSuffix = '.tmp'

export async function writeAside(files: FileSystem, file: string, bytes: Buffer): Promise<void> {
  await (await createAside(files, file, bytes)).close()
}

/** As `writeAside`, and leaves the file open. */
export async function createAside(
  files: FileSystem,
  file: string,
  bytes: Buffer,
): Promise<OpenFile> {
  const aside = file + asideSuffix
  const opened = await files.createFile(aside)
  try {
    await opened.write(bytes, 0)
    await putInPlace(files, opened, file)
  } catch (error) {
    await opened.close().catch(() => undefined)
    // A disk that refused the bytes may take them later, under the same name.
    await files.removeFile(aside).catch(() => undefined)
    throw error
  }
  return opened
}

/** Where a step of it fails, it is not known which file is there after a crash. */
async function putInPlace(files: FileSystem, opened: OpenFile, file: string): Promise<void> {
  try {
    await opened.sync()
    await files.renameFile(file + asideSuffix, file)
    await files.syncFolder(path.dirname(file))
  } catch (error) {
    throw toFinalError(error)
  }
}
