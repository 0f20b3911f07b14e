/**
 * The figures of one process. Names carry their unit (`_total`, `_ms`, `_bytes`); histograms are
 * hdr-histograms shown as quantiles.
 */
import * as hdr from 'hdr-histogram-js'

const shownQuantiles = [0.5, 0.9, 0.99, 0.999]
const highestTrackableMs = 3_600_000
/** Histograms hold microseconds so that sub-millisecond latencies keep their digits. */
const unitsPerMs = 1000

export class MetricsRegistry {
  readonly #counters = new Map<string, number>()
  readonly #gauges = new Map<string, () => number>()
  readonly #histograms = new Map<string, hdr.Histogram>()

  /** Adds to a counter, made on first use. */
  count(name: string, by = 1): void {
    this.#counters.set(name, (this.#counters.get(name) ?? 0) + by)
  }

  counterValue(name: string): number {
    return this.#counters.get(name) ?? 0
  }

  /** Registers a value read when the figures are shown. */
  gauge(name: string, read: () => number): void {
    this.#gauges.set(name, read)
  }

  /** Records one latency in milliseconds. */
  recordMs(name: string, durationMs: number): void {
    const units = Math.min(Math.max(0, durationMs), highestTrackableMs) * unitsPerMs
    this.#histogram(name).recordValue(Math.round(units))
  }

  /** A quantile in milliseconds; 0 where nothing was recorded. `quantile` is between 0 and 1. */
  quantileMs(name: string, quantile: number): number {
    const histogram = this.#histograms.get(name)
    return histogram === undefined ? 0 : histogram.getValueAtPercentile(quantile * 100) / unitsPerMs
  }

  /** The text exposition that `/metrics` answers with. */
  render(): string {
    const lines = [
      ...[...this.#counters].map(([name, value]) => `${name} ${value}`),
      ...[...this.#gauges].map(([name, read]) => `${name} ${read()}`),
      ...[...this.#histograms.keys()].flatMap((name) => this.#renderHistogram(name)),
    ]
    return lines.sort().join('\n') + '\n'
  }

  #renderHistogram(name: string): string[] {
    const rows = shownQuantiles.map((q) => `${name}{quantile="${q}"} ${this.quantileMs(name, q)}`)
    return [...rows, `${name}_count ${this.#histogram(name).totalCount}`]
  }

  #histogram(name: string): hdr.Histogram {
    const known = this.#histograms.get(name)
    if (known !== undefined) return known
    const made = hdr.build({
      highestTrackableValue: highestTrackableMs * unitsPerMs,
      numberOfSignificantValueDigits: 2,
    })
    this.#histograms.set(name, made)
    return made
  }
}
