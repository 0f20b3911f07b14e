/** Writes what was sent, answered and run to `record.txt`, one line for each event, with the time since the start. */
import { closeSync, openSync, writeSync } from 'node:fs'
import { performance } from 'node:perf_hooks'

export class Record {
  #file
  #startMs = performance.now()

  constructor(path) {
    this.#file = openSync(path, 'w')
  }

  get nowMs() {
    return performance.now() - this.#startMs
  }

  note(text) {
    const seconds = (this.nowMs / 1000).toFixed(3).padStart(8)
    writeSync(this.#file, `${seconds} s  ${text}\n`)
  }

  close() {
    closeSync(this.#file)
  }
}
