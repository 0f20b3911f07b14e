/** An append-only file of framed records. An append has succeeded once it is synced. */
import { constants } from 'node:fs'
import { mkdir, open, type FileHandle } from 'node:fs/promises'
import path from 'node:path'
import { NettlespurError } from '@nettlespur/core.errors'
import { frameRecord, readFrames } from './recordFrame.js'

const fileName = 'control.log'

export interface OpenedLogFile {
  readonly file: LogFile
  readonly contents: readonly Buffer[]
  /** Bytes of a torn tail that were cut off. */
  readonly cutBytes: number
}

export class LogFile {
  readonly #handle: FileHandle
  #size: number

  private constructor(handle: FileHandle, size: number) {
    this.#handle = handle
    this.#size = size
  }

  /** Opens or makes the file and cuts a torn tail. Errors: throws `storage-damaged`. */
  static async open(dataFolder: string): Promise<OpenedLogFile> {
    await mkdir(dataFolder, { recursive: true })
    const handle = await open(path.join(dataFolder, fileName), constants.O_RDWR | constants.O_CREAT)
    try {
      const opened = await LogFile.#read(handle)
      await syncFolder(dataFolder)
      return opened
    } catch (cause) {
      await handle.close()
      throw cause
    }
  }

  static async #read(handle: FileHandle): Promise<OpenedLogFile> {
    const bytes = await handle.readFile()
    const { contents, wholeBytes } = readFrames(bytes)
    if (wholeBytes < bytes.length) await handle.truncate(wholeBytes)
    await handle.sync()
    const file = new LogFile(handle, wholeBytes)
    return { file, contents, cutBytes: bytes.length - wholeBytes }
  }

  /**
   * Writes and syncs one record. Errors: throws `disk-full` where nothing of it is left behind,
   * `storage-failed` where that is not known.
   */
  async append(content: Buffer): Promise<void> {
    const frame = frameRecord(content)
    try {
      await this.#writeAll(frame)
    } catch (cause) {
      await this.#undo(cause)
    }
    await this.#sync()
    this.#size += frame.length
  }

  async close(): Promise<void> {
    await this.#handle.close()
  }

  async #writeAll(bytes: Buffer): Promise<void> {
    let done = 0
    while (done < bytes.length) {
      const left = bytes.length - done
      const { bytesWritten } = await this.#handle.write(bytes, done, left, this.#size + done)
      done += bytesWritten
    }
  }

  async #undo(cause: unknown): Promise<never> {
    try {
      await this.#handle.truncate(this.#size)
      await this.#handle.datasync()
    } catch (undoCause) {
      throw new NettlespurError('storage-failed', 'the log cannot be written', { cause: undoCause })
    }
    throw new NettlespurError('disk-full', 'the log cannot be extended', { cause })
  }

  async #sync(): Promise<void> {
    try {
      await this.#handle.datasync()
    } catch (cause) {
      throw new NettlespurError('storage-failed', 'the log cannot be synced', { cause })
    }
  }
}

async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, constants.O_RDONLY)
  try {
    await handle.sync()
  } finally {
    await handle.close()
  }
}
