/** What a case sent, what was answered and what ran, with the time since its start. */
import { writeFileSync } from 'node:fs'
import { performance } from 'node:perf_hooks'

export class Record {
  #lines = []
  #startMs = performance.now()

  note(line) {
    const seconds = ((performance.now() - this.#startMs) / 1000).toFixed(3)
    this.#lines.push(`${seconds.padStart(8)} ${line}`)
  }

  save(file) {
    writeFileSync(file, `${this.#lines.join('\n')}\n`)
  }
}
