/** Appends of concurrent callers, with group commit and with one sync for each append. */
import path from 'node:path'
import type { Clock } from '@nettlespur/core.clock'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import type { FileLogStore } from '@nettlespur/storage.log'
import type { MeasuredRow } from './measuredRow.js'
import { openBenchStore, toEntry } from './openBenchStore.js'

const callers = 64
const turns = 3
const quantiles = [0.5, 0.99, 0.999]
const latency = 'append_ms'

interface MeasureAppendsOptions {
  readonly clock: Clock
  readonly folder: string
  readonly appendsPerTurn: number
}

export async function measureAppends(opts: MeasureAppendsOptions): Promise<MeasuredRow[]> {
  const { clock, appendsPerTurn } = opts
  const grouped = new Way(clock, path.join(opts.folder, 'grouped'), appendsPerTurn)
  const single = new Way(clock, path.join(opts.folder, 'single'), appendsPerTurn / 10, 1)
  for (let turn = 0; turn < turns; turn++) {
    await grouped.runTurn()
    await single.runTurn()
  }
  const ratio = grouped.appendsPerSecond / single.appendsPerSecond
  return [
    ...grouped.listRows('group_commit'),
    ...single.listRows('one_sync_each'),
    { name: 'group_commit_over_one_sync_each', value: ratio, unit: 'ratio' },
  ]
}

class Way {
  readonly #metrics = new MetricsRegistry()
  #appends = 0
  #durationMs = 0

  constructor(
    readonly clock: Clock,
    readonly folder: string,
    readonly appendsPerTurn: number,
    readonly batchBytesMax?: number,
  ) {}

  get appendsPerSecond(): number {
    return (this.#appends * 1000) / this.#durationMs
  }

  async runTurn(): Promise<void> {
    const { clock, folder, batchBytesMax } = this
    const limits = batchBytesMax === undefined ? {} : { batchBytesMax }
    const store = await openBenchStore({ clock, folder, ...limits })
    const startMs = clock.monotonicMs()
    const endIndex = store.lastIndex + this.appendsPerTurn
    const tasks = Array.from({ length: callers }, () => this.#runCaller(store, endIndex))
    await Promise.all(tasks)
    this.#durationMs += clock.monotonicMs() - startMs
    await store.close()
  }

  listRows(way: string): MeasuredRow[] {
    const latencies = quantiles.map((quantile) => ({
      name: `append_${way}_p${quantile * 100}`,
      value: this.#metrics.quantileMs(latency, quantile),
      unit: 'ms',
    }))
    return [
      { name: `appends_${way}`, value: this.appendsPerSecond, unit: 'appends/s' },
      ...latencies,
    ]
  }

  async #runCaller(store: FileLogStore, endIndex: number): Promise<void> {
    while (store.lastIndex < endIndex) {
      const startMs = this.clock.monotonicMs()
      await store.append([toEntry(store.lastIndex + 1)])
      this.#metrics.recordMs(latency, this.clock.monotonicMs() - startMs)
      this.#appends++
    }
  }
}
