import { mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { createContract } from '@nettlespur/control.fakes'
import { StateHolder, type Command } from '@nettlespur/control.state'
import { SystemClock } from '@nettlespur/core.clock'
import { unwrap } from '@nettlespur/core.errors'
import { createLogger } from '@nettlespur/core.logger'
import { FileLogStore } from '@nettlespur/storage.log'
import test from 'ava'
import { RaftLog, RpcTransport, type RaftLogOptions } from '../src/index.js'

const clock = new SystemClock()
const logger = createLogger({ name: 'control', instanceId: 'c1', write: () => undefined })

function createFolder(): Promise<string> {
  return mkdtemp(path.join(tmpdir(), 'log-'))
}

async function openLog(folder: string, limits: NonNullable<RaftLogOptions['limits']> = {}) {
  const holder = new StateHolder()
  const log = await RaftLog.open({
    memberId: 'c1',
    initialMembers: [{ memberId: 'c1', peerAddress: '127.0.0.1:1', dataCentre: 'dc1' }],
    clock,
    logger,
    store: await FileLogStore.open({ folder, clock, logger }),
    transport: new RpcTransport({ clock, peerKey: 'not-used', timeoutMs: 1000 }),
    holder,
    timings: { heartbeatMs: 250, electionTimeoutMs: 1500, replaceVoterAfterMs: 60_000 },
    limits,
  })
  return { log, holder }
}

function change(expectedRevision: number): Command {
  const at = '2026-01-01T00:00:00.000Z'
  const changeId = `change-${expectedRevision}`
  const contract = createContract('demo')
  return { type: 'contract.apply', at, change: { changeId, expectedRevision, contract } }
}

test('committed commands are restored after a restart, in the order in which they were proposed', async (t) => {
  const folder = await createFolder()
  const { log, holder } = await openLog(folder)
  await Promise.all([0, 1, 2, 3].map((revision) => unwrap(log.propose(change(revision)))))
  await log.stop()
  t.like((await log.propose(change(4)).run()).extract(), { kind: 'draining' })
  const reopened = await openLog(folder)
  t.deepEqual(reopened.holder.state.snapshot(), holder.state.snapshot())
  t.is(reopened.holder.state.getContract('demo')?.revision, 4)
  await reopened.log.stop()
})

test('a restart from a snapshot and later log entries restores the same state, and a resent change gets its first result', async (t) => {
  const folder = await createFolder()
  const limits = { snapshotEveryEntries: 7, keepEntries: 2 }
  const { log, holder } = await openLog(folder, limits)
  for (let revision = 0; revision < 20; revision++) await unwrap(log.propose(change(revision)))
  await log.stop()
  const reopened = await openLog(folder, limits)
  t.true((reopened.log.describe().snapshotAgeMs ?? -1) >= 0)
  t.deepEqual(reopened.holder.state.snapshot(), holder.state.snapshot())
  const first = await unwrap(reopened.log.propose(change(3)))
  t.like(first, { type: 'contract', record: { revision: 4 } })
  t.is(reopened.holder.state.getContract('demo')?.revision, 20)
  await reopened.log.stop()
})

test('removing the sole voter or an unknown member is refused, and so is adding a member whose address is taken', async (t) => {
  const { log } = await openLog(await createFolder())
  t.like((await log.removeMember('c1').run()).extract(), { kind: 'membership-refused' })
  t.like((await log.removeMember('c9').run()).extract(), { kind: 'unknown-member' })
  const taken = { memberId: 'c2', peerAddress: '127.0.0.1:1', dataCentre: 'dc2' }
  t.like((await log.addMember(taken).run()).extract(), { kind: 'membership-refused' })
  await log.stop()
})
