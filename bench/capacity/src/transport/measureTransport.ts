/**
 * Compares transports between two processes by bytes at the sockets, processor time and resident memory:
 * first an entry's calls at rest, then a load of heartbeats. All transports run in the same minute.
 */
import type { FigureRow } from '../figureRow.js'
import { SystemClock } from '@nettlespur/core.clock'
import { createKey } from '@nettlespur/net.keys'
import { PeerHandle } from './peerHandle.js'
import type { PeerAnswer } from './peerOrder.js'
import { transportKinds, type TransportKind } from './transportKind.js'

const clock = new SystemClock()
const settleMs = 4000
const restMs = 15_000
const loadSeconds = 8
const callsPerBurst = 8
const loadCalls = loadSeconds * 25 * callsPerBurst
const upstreams = 4
const mebibyte = 1_048_576

export async function measureTransport(): Promise<readonly FigureRow[]> {
  const rows = await Promise.all(transportKinds.map((kind) => measureKind(kind)))
  return rows.flat()
}

interface Sample {
  readonly client: PeerAnswer
  readonly server: PeerAnswer
}

async function measureKind(kind: TransportKind): Promise<FigureRow[]> {
  const peerKey = createKey()
  const server = new PeerHandle()
  const client = new PeerHandle()
  try {
    const { address = '' } = await server.tell({ type: 'serve', kind, peerKey })
    await client.tell({ type: 'call', kind, peerKey, address, upstreams })
    await clock.sleep(settleMs)
    const before = await sample(client, server)
    await clock.sleep(restMs)
    const rested = await sample(client, server)
    await client.tell({ type: 'load', callsPerBurst, seconds: loadSeconds })
    const loaded = await sample(client, server)
    return [...describeRest(kind, before, rested), ...describeLoad(kind, rested, loaded)]
  } finally {
    await client.end()
    await server.end()
  }
}

async function sample(client: PeerHandle, server: PeerHandle): Promise<Sample> {
  const order = { type: 'sample' } as const
  return { client: await client.tell(order), server: await server.tell(order) }
}

function describeRest(kind: TransportKind, before: Sample, after: Sample): FigureRow[] {
  const seconds = restMs / 1000
  return [
    row(kind, 'rest_bytes_per_second', bytesBetween(before, after) / seconds, 'bytes/s'),
    row(kind, 'rest_client_cpu', cpuMsBetween(before.client, after.client) / seconds, 'ms/s'),
    row(kind, 'rest_server_cpu', cpuMsBetween(before.server, after.server) / seconds, 'ms/s'),
    row(kind, 'rest_client_resident', (after.client.usage?.residentBytes ?? 0) / mebibyte, 'MiB'),
    row(kind, 'rest_server_resident', (after.server.usage?.residentBytes ?? 0) / mebibyte, 'MiB'),
  ]
}

function describeLoad(kind: TransportKind, before: Sample, after: Sample): FigureRow[] {
  return [
    row(kind, 'heartbeat_bytes', bytesBetween(before, after) / loadCalls, 'bytes/call'),
    row(
      kind,
      'heartbeat_client_cpu',
      cpuMsBetween(before.client, after.client) / loadCalls,
      'ms/call',
    ),
    row(
      kind,
      'heartbeat_server_cpu',
      cpuMsBetween(before.server, after.server) / loadCalls,
      'ms/call',
    ),
    row(kind, 'loaded_client_resident', (after.client.usage?.residentBytes ?? 0) / mebibyte, 'MiB'),
  ]
}

function row(kind: TransportKind, name: string, value: number, unit: string): FigureRow {
  return { name: `transport.${kind}.${name}`, value, unit }
}

function bytesBetween(before: Sample, after: Sample): number {
  return (after.server.bytes ?? 0) - (before.server.bytes ?? 0)
}

function cpuMsBetween(before: PeerAnswer, after: PeerAnswer): number {
  return (after.usage?.cpuMs ?? 0) - (before.usage?.cpuMs ?? 0)
}
