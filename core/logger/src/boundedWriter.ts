/**
 * Writes log lines to a file descriptor without ever blocking the process. Lines wait in a bounded buffer
 * while the reader is slow; what does not fit is counted and the count is written in its place.
 */
import { write } from 'node:fs'

/** About 5,000 lines: some seconds of a busy process, and little beside its memory. */
const bufferBytesMax = 1_048_576
/** A full pipe refuses writes; the next try comes after this long. */
const retryMs = 20

export interface BoundedWriterOptions {
  /** 1 for standard output. */
  fileDescriptor: number
  /** 1 MiB by default. */
  bufferBytesMax?: number
}

export class BoundedWriter {
  readonly #fileDescriptor: number
  readonly #bytesMax: number
  #lines: string[] = []
  #bytes = 0
  #isWriting = false
  #dropped = 0
  #droppedInAll = 0

  constructor(opts: BoundedWriterOptions) {
    this.#fileDescriptor = opts.fileDescriptor
    this.#bytesMax = opts.bufferBytesMax ?? bufferBytesMax
  }

  /** Lines that were never written. */
  get droppedLines(): number {
    return this.#droppedInAll
  }

  write(line: string): void {
    if (this.#bytes + line.length > this.#bytesMax) {
      this.#dropped += 1
      this.#droppedInAll += 1
      return
    }
    this.#lines.push(line)
    this.#bytes += line.length
    if (!this.#isWriting) this.#flush()
  }

  #flush(): void {
    this.#isWriting = true
    // Lines of the same turn leave in one write.
    setImmediate(() => {
      if (this.#dropped > 0) {
        this.#lines.push(`level=warn event=log.dropped lines=${this.#dropped}\n`)
        this.#dropped = 0
      }
      const bytes = Buffer.from(this.#lines.join(''))
      this.#lines = []
      this.#bytes = 0
      this.#writeAll(bytes)
    })
  }

  #writeAll(bytes: Buffer): void {
    write(this.#fileDescriptor, bytes, (error, written) => {
      if (error?.code === 'EAGAIN') {
        setTimeout(() => {
          this.#writeAll(bytes)
        }, retryMs)
        return
      }
      // A reader that is gone takes nothing more: what waits is counted with the next line.
      const rest = error === null ? bytes.subarray(written) : Buffer.alloc(0)
      if (rest.length > 0) this.#writeAll(rest)
      else if (this.#lines.length > 0) this.#flush()
      else this.#isWriting = false
    })
  }
}
