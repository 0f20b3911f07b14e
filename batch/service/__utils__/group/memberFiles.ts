/** The files of one process: calls take as long as its disk does, and never end once the process has ended. */
import { FileSystem, OpenFile } from '@nettlespur/storage.log'
import type { MemoryFileSystem } from '@nettlespur/storage.log/fakes'
import type { DiskState } from './diskState.js'
import type { MemberClock } from './memberClock.js'

export interface MemberFilesOptions {
  files: MemoryFileSystem
  disk: DiskState
  clock: MemberClock
}

export class MemberFiles extends FileSystem {
  readonly #opts: MemberFilesOptions
  #hasEnded = false

  constructor(opts: MemberFilesOptions) {
    super()
    this.#opts = opts
  }

  /** The process has ended: its pending calls are never carried out. */
  end(): void {
    this.#hasEnded = true
  }

  /** For calls that a full disk does not refuse: reads, and also new folders, renames, removals and truncations. */
  async read<T>(run: (files: MemoryFileSystem) => Promise<T>): Promise<T> {
    await this.#opts.disk.waitWhileStalled()
    return this.#finish(run)
  }

  async write<T>(run: (files: MemoryFileSystem) => Promise<T>): Promise<T> {
    await this.#opts.disk.waitWhileStalled()
    if (this.#opts.disk.isFull) throw Object.assign(new Error('no space left'), { code: 'ENOSPC' })
    return this.#finish(run)
  }

  async sync<T>(run: (files: MemoryFileSystem) => Promise<T>): Promise<T> {
    await this.#opts.disk.sync()
    return this.#finish(run)
  }

  override makeFolder(): Promise<void> {
    return this.read((files) => files.makeFolder())
  }

  override listFolder(folder: string): Promise<string[]> {
    return this.read((files) => files.listFolder(folder))
  }

  override syncFolder(folder: string): Promise<void> {
    return this.sync((files) => files.syncFolder(folder))
  }

  override async createFile(file: string): Promise<OpenFile> {
    return new MemberFile(this, await this.write((files) => files.createFile(file)))
  }

  override async openFile(file: string): Promise<OpenFile> {
    return new MemberFile(this, await this.read((files) => files.openFile(file)))
  }

  override readFile(file: string): Promise<Buffer> {
    return this.read((files) => files.readFile(file))
  }

  override renameFile(from: string, to: string): Promise<void> {
    return this.read((files) => files.renameFile(from, to))
  }

  override removeFile(file: string): Promise<void> {
    return this.read((files) => files.removeFile(file))
  }

  override readProcessToken(): Promise<string> {
    return this.#opts.files.readProcessToken()
  }

  override isProcessAlive(token: string): Promise<boolean> {
    return this.#opts.files.isProcessAlive(token)
  }

  async #finish<T>(run: (files: MemoryFileSystem) => Promise<T>): Promise<T> {
    if (this.#hasEnded) await new Promise<never>(() => undefined)
    const result = await run(this.#opts.files)
    await this.#opts.clock.waitUntilResumed()
    return result
  }
}

class MemberFile extends OpenFile {
  readonly #files: MemberFiles
  readonly #file: OpenFile

  constructor(files: MemberFiles, file: OpenFile) {
    super()
    this.#files = files
    this.#file = file
  }

  override read(offsetBytes: number, lengthBytes: number): Promise<Buffer> {
    return this.#files.read(() => this.#file.read(offsetBytes, lengthBytes))
  }

  override write(bytes: Buffer, offsetBytes: number): Promise<void> {
    return this.#files.write(() => this.#file.write(bytes, offsetBytes))
  }

  override truncate(sizeBytes: number): Promise<void> {
    return this.#files.read(() => this.#file.truncate(sizeBytes))
  }

  override sync(): Promise<void> {
    return this.#files.sync(() => this.#file.sync())
  }

  override close(): Promise<void> {
    return this.#file.close()
  }
}
