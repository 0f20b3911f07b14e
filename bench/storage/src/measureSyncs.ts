/** One small write and its sync on a growing file: `fsync` against `fdatasync`. */
import { open, type FileHandle } from 'node:fs/promises'
import path from 'node:path'
import type { Clock } from '@nettlespur/core.clock'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import type { MeasuredRow } from './measuredRow.js'
import { payloadBytes } from './openBenchStore.js'

const writes = 500
const ways = ['fsync', 'fdatasync'] as const
const bytes = Buffer.alloc(payloadBytes, 'x')

interface MeasureSyncsOptions {
  readonly clock: Clock
  readonly folder: string
}

export async function measureSyncs({ clock, folder }: MeasureSyncsOptions): Promise<MeasuredRow[]> {
  const metrics = new MetricsRegistry()
  const handles = await Promise.all(ways.map((way) => open(path.join(folder, way), 'w')))
  for (let turn = 0; turn < writes; turn++) {
    for (const [position, way] of ways.entries()) {
      const handle = handles[position]
      if (handle === undefined) continue
      const startMs = clock.monotonicMs()
      await handle.write(bytes)
      await sync(handle, way)
      metrics.recordMs(way, clock.monotonicMs() - startMs)
    }
  }
  await Promise.all(handles.map((handle) => handle.close()))
  return ways.flatMap((way) => [
    { name: `write_and_${way}_p50`, value: metrics.quantileMs(way, 0.5), unit: 'ms' },
    { name: `write_and_${way}_p99`, value: metrics.quantileMs(way, 0.99), unit: 'ms' },
  ])
}

function sync(handle: FileHandle, way: (typeof ways)[number]): Promise<void> {
  return way === 'fsync' ? handle.sync() : handle.datasync()
}
