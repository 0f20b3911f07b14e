/**
 * Lock that keeps a second process from using a data folder. Each process creates a lock file named by its
 * process token, and only then looks for other lock files: two processes that start together may both fail, but
 * never both hold the lock. Lock files of processes that have ended are removed.
 */
import path from 'node:path'
import { NettlespurError } from '@nettlespur/core.errors'
import type { FileSystem } from './fileSystem.js'

const prefix = 'lock-'

export class FolderLock {
  readonly #files: FileSystem
  readonly #file: string

  private constructor(files: FileSystem, file: string) {
    this.#files = files
    this.#file = file
  }

  /** Rejects with `storage-failed` if a running process, including this one, holds the lock. */
  static async acquire(files: FileSystem, folder: string): Promise<FolderLock> {
    const own = prefix + (await files.readProcessToken())
    const file = path.join(folder, own)
    await createLock(files, folder, own)
    try {
      await checkOtherLocks(files, folder, own)
    } catch (error) {
      await files.removeFile(file)
      throw error
    }
    return new FolderLock(files, file)
  }

  release(): Promise<void> {
    return this.#files.removeFile(this.#file)
  }
}

async function createLock(files: FileSystem, folder: string, own: string): Promise<void> {
  try {
    await (await files.createFile(path.join(folder, own))).close()
  } catch (error) {
    throw (error as NodeJS.ErrnoException).code === 'EEXIST' ? folderInUseError(folder, own) : error
  }
}

async function checkOtherLocks(files: FileSystem, folder: string, own: string): Promise<void> {
  const locks = (await files.listFolder(folder)).filter((name) => name.startsWith(prefix))
  for (const lock of locks.filter((name) => name !== own)) {
    if (await files.isProcessAlive(lock.slice(prefix.length))) throw folderInUseError(folder, lock)
    await files.removeFile(path.join(folder, lock))
  }
}

function folderInUseError(folder: string, lock: string): NettlespurError {
  return new NettlespurError('storage-failed', `${folder} is in use: ${lock}`, {
    hint: 'Stop the other process, or give this one a data folder of its own.',
  })
}
