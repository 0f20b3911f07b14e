/**
 * All figures of the log store in one run, on a folder of its own. Ways that are compared take turns, so
 * that both meet the same state of the machine.
 */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import type { Clock } from '@nettlespur/core.clock'
import { measureAppends } from './measureAppends.js'
import type { MeasuredRow } from './measuredRow.js'
import { measureRecovery } from './measureRecovery.js'
import { measureSyncs } from './measureSyncs.js'

export interface MeasureStorageOptions {
  readonly clock: Clock
  /** Where the data folders are made and removed again; it should be on the disk that is meant. */
  readonly parentFolder?: string
  /** Appends of each turn with group commit; a tenth of it with one sync each. */
  readonly appendsPerTurn?: number
  /** Log lengths to recover, in entries. */
  readonly recoveredEntries?: readonly number[]
}

export async function measureStorage(opts: MeasureStorageOptions): Promise<MeasuredRow[]> {
  const parent = opts.parentFolder ?? tmpdir()
  const folder = await mkdtemp(path.join(parent, 'nettlespur-bench-'))
  const { clock } = opts
  try {
    return [
      ...(await measureSyncs({ clock, folder })),
      ...(await measureAppends({ clock, folder, appendsPerTurn: opts.appendsPerTurn ?? 10_000 })),
      ...(await measureRecovery({
        clock,
        folder,
        lengths: opts.recoveredEntries ?? [1000, 10_000, 50_000, 100_000],
      })),
    ]
  } finally {
    await rm(folder, { recursive: true })
  }
}
