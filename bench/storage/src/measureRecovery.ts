/** How long opening a folder takes, against the length of the log in it. */
import path from 'node:path'
import type { Clock } from '@nettlespur/core.clock'
import type { MeasuredRow } from './measuredRow.js'
import { openBenchStore, toEntry } from './openBenchStore.js'

const entriesPerAppend = 500
const repeats = 3

interface MeasureRecoveryOptions {
  readonly clock: Clock
  readonly folder: string
  readonly lengths: readonly number[]
}

export async function measureRecovery(opts: MeasureRecoveryOptions): Promise<MeasuredRow[]> {
  const rows: MeasuredRow[] = []
  for (const length of opts.lengths) {
    const folder = path.join(opts.folder, `recovery-${length}`)
    await fill(opts.clock, folder, length)
    const value = await measureOpening(opts.clock, folder)
    rows.push({ name: `recovery_${length}_entries`, value, unit: 'ms' })
  }
  return rows
}

async function fill(clock: Clock, folder: string, length: number): Promise<void> {
  const store = await openBenchStore({ clock, folder })
  while (store.lastIndex < length) {
    const count = Math.min(entriesPerAppend, length - store.lastIndex)
    const firstIndex = store.lastIndex + 1
    await store.append(Array.from({ length: count }, (_, at) => toEntry(firstIndex + at)))
  }
  await store.close()
}

/** The median of some openings, from the page cache. */
async function measureOpening(clock: Clock, folder: string): Promise<number> {
  const durationsMs: number[] = []
  for (let repeat = 0; repeat < repeats; repeat++) {
    const startMs = clock.monotonicMs()
    const store = await openBenchStore({ clock, folder })
    durationsMs.push(clock.monotonicMs() - startMs)
    await store.close()
  }
  return durationsMs.sort((left, right) => left - right)[Math.floor(repeats / 2)] ?? 0
}
