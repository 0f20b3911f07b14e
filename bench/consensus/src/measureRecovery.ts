/** How long one instance takes to hold its state again, from the log alone and from a snapshot. */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { createContract } from '@nettlespur/control.fakes'
import { RaftLog, RpcTransport } from '@nettlespur/control.log'
import { StateHolder } from '@nettlespur/control.state'
import { SystemClock } from '@nettlespur/core.clock'
import { unwrap } from '@nettlespur/core.errors'
import { createLogger } from '@nettlespur/core.logger'
import { FileLogStore } from '@nettlespur/storage.log'
import type { FigureRow } from './figureRow.js'

const logLengths = [500, 5000]
const batch = 500
const neverEntries = 1_000_000
const clock = new SystemClock()
const logger = createLogger({ name: 'bench', instanceId: 'bench', write: () => undefined })

export async function measureRecovery(): Promise<FigureRow[]> {
  const rows: FigureRow[] = []
  for (const length of logLengths) {
    rows.push(await measure(`consensus-recovery-log-${length}`, length, neverEntries))
    rows.push(await measure(`consensus-recovery-snapshot-${length}`, length, length))
  }
  return rows
}

async function measure(
  name: string,
  changes: number,
  snapshotEveryEntries: number,
): Promise<FigureRow> {
  const folder = await mkdtemp(path.join(tmpdir(), 'bench-recovery-'))
  try {
    const log = await open(folder, snapshotEveryEntries)
    await fill(log, changes)
    await log.stop()
    const startMs = clock.monotonicMs()
    const again = await open(folder, neverEntries)
    const value = clock.monotonicMs() - startMs
    await again.stop()
    return { name, value, unit: 'ms' }
  } finally {
    await rm(folder, { recursive: true, force: true })
  }
}

async function open(folder: string, snapshotEveryEntries: number): Promise<RaftLog> {
  return RaftLog.open({
    memberId: 'c1',
    initialMembers: [{ memberId: 'c1', peerAddress: '127.0.0.1:1', dataCentre: 'dc1' }],
    clock,
    logger,
    store: await FileLogStore.open({ folder, clock, logger }),
    transport: new RpcTransport({ clock, peerKey: 'not-used', timeoutMs: 1000 }),
    holder: new StateHolder(),
    timings: { heartbeatMs: 250, electionTimeoutMs: 1200, replaceVoterAfterMs: 60_000 },
    limits: { snapshotEveryEntries, keepEntries: 10 },
  })
}

async function fill(log: RaftLog, changes: number): Promise<void> {
  for (let first = 0; first < changes; first += batch) {
    const proposed = Array.from({ length: Math.min(batch, changes - first) }, (_, offset) => {
      const revision = first + offset
      const change = {
        changeId: `change-${revision}`,
        expectedRevision: revision,
        contract: createContract('demo'),
      }
      return unwrap(log.propose({ type: 'contract.apply', at: clock.now().toISOString(), change }))
    })
    await Promise.all(proposed)
  }
}
