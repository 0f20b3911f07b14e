/** What one load run saw. Latencies count from the moment a call was due, not from when it was sent. */
import * as hdr from 'hdr-histogram-js'

/** `refused`: told that it did not run. `failed`: everything else without a whole answer. */
export type LoadOutcome = 'answered' | 'refused' | 'failed'

const unitsPerMs = 1000
const highestTrackableMs = 600_000

export class LoadReport {
  answered = 0
  refused = 0
  failed = 0
  /** How long calls were due for, in milliseconds. */
  durationMs = 0
  readonly #latencies = hdr.build({
    highestTrackableValue: highestTrackableMs * unitsPerMs,
    numberOfSignificantValueDigits: 3,
  })

  note(outcome: LoadOutcome, latencyMs: number): void {
    this[outcome] += 1
    if (outcome !== 'answered') return
    this.#latencies.recordValue(Math.max(1, Math.round(latencyMs * unitsPerMs)))
  }

  get sent(): number {
    return this.answered + this.refused + this.failed
  }

  get answeredPerSecond(): number {
    return this.answered / (this.durationMs / 1000)
  }

  /** Of whole answers, in milliseconds; `quantile` from 0 to 1. */
  latencyMs(quantile: number): number {
    return this.#latencies.getValueAtPercentile(quantile * 100) / unitsPerMs
  }
}
