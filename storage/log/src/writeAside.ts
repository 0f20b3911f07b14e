/** Replaces a file as a whole: after a crash at any step either the old or the new one is there. */
import path from 'node:path'
import type { FileSystem, OpenFile } from './fileSystem.js'

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
    await opened.sync()
    await files.renameFile(aside, file)
    await files.syncFolder(path.dirname(file))
  } catch (error) {
    await opened.close().catch(() => undefined)
    throw error
  }
  return opened
}
