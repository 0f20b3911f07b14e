/**
 * An in-memory file system that can lose unsynced data in a simulated crash. It counts the operations that
 * change files or sync them, and can fail any of them.
 */
import path from 'node:path'
import { FileSystem, OpenFile } from '../src/index.js'

/**
 * What a machine crash does to unsynced data. `lost` drops unsynced bytes and name changes; all other kinds keep
 * the name changes. Of the bytes past the synced size, `halfKept` cuts off the second half, and `firstHalfLost`
 * and `secondHalfLost` fill one half with zeros.
 */
export const lossKinds = ['lost', 'kept', 'halfKept', 'firstHalfLost', 'secondHalfLost'] as const
export type LossKind = (typeof lossKinds)[number]

/** Called before each counted operation, with the number of operations before it; throws to make it fail. */
export type FaultInjector = (operation: string, file: string, count: number) => void

interface Inode {
  bytes: Buffer
  /** The contents as of the last sync. */
  durable: Buffer
}

export class MemoryFileSystem extends FileSystem {
  injectFault: FaultInjector = () => undefined
  /** Total size of all files. */
  get sizeBytes(): number {
    return [...this.names.values()].reduce((sum, inode) => sum + inode.bytes.length, 0)
  }

  operations = 0
  readonly names: Map<string, Inode>
  #durableNames: Map<string, Inode>
  #pendingNames: ((names: Map<string, Inode>) => void)[] = []
  readonly #processNumber: number

  constructor(names = new Map<string, Inode>(), life = 1) {
    super()
    this.names = new Map(names)
    this.#durableNames = new Map(names)
    this.#processNumber = life
  }

  /** Returns the disk as the next process finds it after a machine crash. */
  crash(loss: LossKind): MemoryFileSystem {
    const names = new Map(this.#durableNames)
    const keptNames = loss === 'lost' ? 0 : this.#pendingNames.length
    for (const apply of this.#pendingNames.slice(0, keptNames)) apply(names)
    for (const [name, inode] of names) {
      const bytes = computeBytesAfterCrash(inode, loss)
      names.set(name, { bytes, durable: bytes })
    }
    return new MemoryFileSystem(names, this.#processNumber + 1)
  }

  /** Returns the disk as the next process finds it after a process crash: nothing is lost, and nothing more is synced. */
  kill(): MemoryFileSystem {
    const next = new MemoryFileSystem(this.names, this.#processNumber + 1)
    next.#durableNames = this.#durableNames
    next.#pendingNames = this.#pendingNames
    return next
  }

  /** Calls the fault injector, and counts the operation if it does not throw. */
  step(operation: string, file: string): void {
    this.injectFault(operation, file, this.operations)
    this.operations++
  }

  makeFolder(): Promise<void> {
    return Promise.resolve()
  }

  listFolder(folder: string): Promise<string[]> {
    const files = [...this.names.keys()].filter((name) => path.dirname(name) === folder)
    return Promise.resolve(files.map((name) => path.basename(name)))
  }

  // eslint-disable-next-line @typescript-eslint/require-await
  async syncFolder(folder: string): Promise<void> {
    this.step('syncFolder', folder)
    for (const apply of this.#pendingNames) apply(this.#durableNames)
    this.#pendingNames = []
  }

  // eslint-disable-next-line @typescript-eslint/require-await
  async createFile(file: string): Promise<OpenFile> {
    this.step('createFile', file)
    if (this.names.has(file))
      throw Object.assign(new Error(`${file} already exists`), { code: 'EEXIST' })
    const inode: Inode = { bytes: Buffer.alloc(0), durable: Buffer.alloc(0) }
    this.#changeNames((names) => names.set(file, inode))
    return new MemoryOpenFile(this, file, inode)
  }

  // eslint-disable-next-line @typescript-eslint/require-await
  async openFile(file: string): Promise<OpenFile> {
    return new MemoryOpenFile(this, file, this.#find(file))
  }

  // eslint-disable-next-line @typescript-eslint/require-await
  async readFile(file: string): Promise<Buffer> {
    return Buffer.from(this.#find(file).bytes)
  }

  // eslint-disable-next-line @typescript-eslint/require-await
  async renameFile(from: string, to: string): Promise<void> {
    this.step('renameFile', to)
    const inode = this.#find(from)
    this.#changeNames((names) => {
      names.delete(from)
      names.set(to, inode)
    })
  }

  // eslint-disable-next-line @typescript-eslint/require-await
  async removeFile(file: string): Promise<void> {
    this.step('removeFile', file)
    this.#find(file)
    this.#changeNames((names) => names.delete(file))
  }

  readProcessToken(): Promise<string> {
    return Promise.resolve(`1-${this.#processNumber}`)
  }

  isProcessAlive(token: string): Promise<boolean> {
    return Promise.resolve(token === `1-${this.#processNumber}`)
  }

  #changeNames(apply: (names: Map<string, Inode>) => unknown): void {
    apply(this.names)
    this.#pendingNames.push(apply)
  }

  #find(file: string): Inode {
    const inode = this.names.get(file)
    if (inode === undefined) throw Object.assign(new Error(`no file ${file}`), { code: 'ENOENT' })
    return inode
  }
}

class MemoryOpenFile extends OpenFile {
  #closed = false

  constructor(
    readonly files: MemoryFileSystem,
    readonly path: string,
    readonly inode: Inode,
  ) {
    super()
  }

  async read(offsetBytes: number, lengthBytes: number): Promise<Buffer> {
    await new Promise((resolve) => setImmediate(resolve))
    if (this.#closed) throw new Error(`${this.path} is closed`)
    return Buffer.from(this.inode.bytes.subarray(offsetBytes, offsetBytes + lengthBytes))
  }

  // eslint-disable-next-line @typescript-eslint/require-await
  async write(bytes: Buffer, offsetBytes: number): Promise<void> {
    const before = this.inode.bytes
    const next = Buffer.alloc(Math.max(before.length, offsetBytes + bytes.length))
    before.copy(next)
    try {
      this.files.step('write', this.path)
    } catch (error) {
      // A failed write leaves its first half in the file.
      bytes.copy(next, offsetBytes, 0, bytes.length >> 1)
      this.inode.bytes = next.subarray(
        0,
        Math.max(before.length, offsetBytes + (bytes.length >> 1)),
      )
      throw error
    }
    bytes.copy(next, offsetBytes)
    this.inode.bytes = next
  }

  // eslint-disable-next-line @typescript-eslint/require-await
  async truncate(sizeBytes: number): Promise<void> {
    this.files.step('truncate', this.path)
    this.inode.bytes = Buffer.from(this.inode.bytes.subarray(0, sizeBytes))
  }

  // eslint-disable-next-line @typescript-eslint/require-await
  async sync(): Promise<void> {
    this.files.step('sync', this.path)
    this.inode.durable = this.inode.bytes
  }

  close(): Promise<void> {
    this.#closed = true
    return Promise.resolve()
  }
}

function computeBytesAfterCrash({ bytes, durable }: Inode, loss: LossKind): Buffer {
  if (loss === 'lost') return Buffer.from(durable)
  const kept = Buffer.from(bytes)
  const middle = durable.length + Math.ceil((bytes.length - durable.length) / 2)
  if (loss === 'halfKept' && middle >= durable.length) return kept.subarray(0, middle)
  if (loss === 'firstHalfLost' && middle > durable.length) kept.fill(0, durable.length, middle)
  if (loss === 'secondHalfLost' && middle >= durable.length) kept.fill(0, middle)
  return kept
}
