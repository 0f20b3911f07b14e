/** Upstreams for people. */
import type { UpstreamView } from '@nettlespur/api.schemas'
import { formatTable } from './formatTable.js'

const headings = [
  'UPSTREAM',
  'STATE',
  'ADDRESS',
  'DATA CENTRE',
  'RACK',
  'SLOTS',
  'ACCELERATORS',
  'CPU CORES',
  'MEMORY BYTES',
]

export function formatUpstreams(upstreams: readonly UpstreamView[]): string {
  const rows = upstreams.map((upstream) => [
    upstream.upstreamId,
    upstream.state,
    upstream.address,
    upstream.dataCentre,
    upstream.rack,
    upstream.slots,
    upstream.accelerators,
    upstream.cpuCores,
    upstream.memoryBytes,
  ])
  return formatTable(headings, rows)
}
