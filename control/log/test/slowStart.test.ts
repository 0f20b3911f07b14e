/**
 * Guards against a control instance that neither serves nor exits after a start on a busy machine. If the first
 * commit takes longer than a read waits for it, the start must wait on instead of failing, because the parts
 * that are already running would keep the process alive.
 */
import { StateHolder } from '@nettlespur/control.state'
import { ManualClock } from '@nettlespur/core.clock'
import { MemoryFileSystem, openStore, silentLogger } from '@nettlespur/storage.log/fakes'
import test from 'ava'
import { RaftLog, RpcTransport } from '../src/index.js'

const electionTimeoutMs = 1500
/** How long the disk takes to write; longer than a read waits for the first commit. */
const diskWriteMs = 4 * electionTimeoutMs

test('a sole voter with a slow disk becomes leader once its first entry is written', async (t) => {
  const clock = new ManualClock()
  const store = await openStore(new MemoryFileSystem())
  const append = store.append.bind(store)
  store.append = async (entries) => {
    await clock.sleep(diskWriteMs)
    await append(entries)
  }
  const opening = RaftLog.open({
    memberId: 'c1',
    initialMembers: [{ memberId: 'c1', peerAddress: '127.0.0.1:1', dataCentre: 'dc1' }],
    clock,
    logger: silentLogger(),
    store,
    transport: new RpcTransport({ clock, peerKey: 'not-used', timeoutMs: 1000 }),
    holder: new StateHolder(),
    timings: { heartbeatMs: 250, electionTimeoutMs, replaceVoterAfterMs: 60_000 },
  })
  const outcome = opening.then(
    (log) => log.leadership.value.isLeader,
    (thrown: unknown) => thrown,
  )
  await clock.advance(3 * diskWriteMs)
  t.is(await outcome, true)
  await (await opening).stop()
})
