/**
 * Keeps a second process off a data folder. Each process puts up a lock file whose name is its own process
 * token, and only then looks for those of others: two that start together may both give way, but never both
 * hold. Lock files of processes that have ended are removed.
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

  /** Rejects with `storage-failed` where a process that lives holds the folder. */
  static async acquire(files: FileSystem, folder: string): Promise<FolderLock> {
    const own = prefix + (await files.readProcessToken())
    if ((await files.listFolder(folder)).includes(own)) throw inUse(folder, own)
    const file = path.join(folder, own)
    await (await files.createFile(file)).close()
    const others = (await files.listFolder(folder)).filter(
      (name) => name.startsWith(prefix) && name !== own,
    )
    for (const other of others) {
      if (await files.isProcessAlive(other.slice(prefix.length))) {
        await files.removeFile(file)
        throw inUse(folder, other)
      }
      await files.removeFile(path.join(folder, other))
    }
    return new FolderLock(files, file)
  }

  release(): Promise<void> {
    return this.#files.removeFile(this.#file)
  }
}

function inUse(folder: string, lock: string): NettlespurError {
  return new NettlespurError('storage-failed', `${folder} is in use: ${lock}`, {
    hint: 'Stop the other process, or give this one a data folder of its own.',
  })
}
