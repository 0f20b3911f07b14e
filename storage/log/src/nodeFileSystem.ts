/** The operating system's file system, through `node:fs`. */
import { mkdir, open, readFile, readdir, rename, unlink, type FileHandle } from 'node:fs/promises'
import { FileSystem, OpenFile } from './fileSystem.js'
import { isProcessAlive, readProcessToken } from './processToken.js'

export class NodeFileSystem extends FileSystem {
  async makeFolder(folder: string): Promise<void> {
    await mkdir(folder, { recursive: true })
  }

  listFolder(folder: string): Promise<string[]> {
    return readdir(folder)
  }

  async syncFolder(folder: string): Promise<void> {
    const handle = await open(folder, 'r')
    try {
      await handle.sync()
    } finally {
      await handle.close()
    }
  }

  async createFile(file: string): Promise<OpenFile> {
    return new NodeOpenFile(await open(file, 'wx+'))
  }

  async openFile(file: string): Promise<OpenFile> {
    return new NodeOpenFile(await open(file, 'r+'))
  }

  readFile(file: string): Promise<Buffer> {
    return readFile(file)
  }

  renameFile(from: string, to: string): Promise<void> {
    return rename(from, to)
  }

  removeFile(file: string): Promise<void> {
    return unlink(file)
  }

  readProcessToken(): Promise<string> {
    return readProcessToken()
  }

  isProcessAlive(token: string): Promise<boolean> {
    return isProcessAlive(token)
  }
}

class NodeOpenFile extends OpenFile {
  readonly #handle: FileHandle

  constructor(handle: FileHandle) {
    super()
    this.#handle = handle
  }

  async read(offsetBytes: number, lengthBytes: number): Promise<Buffer> {
    const target = Buffer.alloc(lengthBytes)
    let done = 0
    while (done < lengthBytes) {
      const { bytesRead } = await this.#handle.read(
        target,
        done,
        lengthBytes - done,
        offsetBytes + done,
      )
      if (bytesRead === 0) break
      done += bytesRead
    }
    return target.subarray(0, done)
  }

  async write(bytes: Buffer, offsetBytes: number): Promise<void> {
    let done = 0
    while (done < bytes.length) {
      const { bytesWritten } = await this.#handle.write(
        bytes,
        done,
        bytes.length - done,
        offsetBytes + done,
      )
      done += bytesWritten
    }
  }

  truncate(sizeBytes: number): Promise<void> {
    return this.#handle.truncate(sizeBytes)
  }

  sync(): Promise<void> {
    return this.#handle.datasync()
  }

  close(): Promise<void> {
    return this.#handle.close()
  }
}
