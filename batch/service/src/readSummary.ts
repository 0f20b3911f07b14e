/** The reads of one operation that were answered within a second, summarised in one log line. */
import type { LogEvent } from '@nettlespur/core.logger'
import type { CallTrace } from './callTrace.js'

/** Bounds a line to 3 KB. An entry reads 15 to 69 jobs in the busiest second of a day. */
const subjectsMax = 150

export class ReadSummary {
  readonly #subjects: string[] = []
  #calls = 0
  #slow = 0
  #sumMs = 0
  #maxMs = 0
  #searched = 0

  add(subject: string, trace: CallTrace, isSlow: boolean): void {
    const { tookMs } = trace
    this.#calls += 1
    if (isSlow) this.#slow += 1
    if (trace.searchMs > 0) this.#searched += 1
    this.#sumMs += tookMs
    this.#maxMs = Math.max(this.#maxMs, tookMs)
    if (this.#subjects.length < subjectsMax) this.#subjects.push(subject)
  }

  /** Fields of a log line. */
  describe(): Omit<LogEvent, 'event'> {
    const unnamed = this.#calls - this.#subjects.length
    return {
      calls: this.#calls,
      meanMs: Math.round(this.#sumMs / this.#calls),
      maxMs: Math.round(this.#maxMs),
      searched: this.#searched,
      slow: this.#slow,
      unnamed: unnamed === 0 ? undefined : unnamed,
      subjects: this.#subjects,
    }
  }
}
