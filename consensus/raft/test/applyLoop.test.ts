import { ManualClock } from '@nettlespur/core.clock'
import type { LogEvent } from '@nettlespur/core.logger'
import test from 'ava'
import { createMember } from '../__utils__/index.js'
import { MemoryDisk } from '../__utils__/memoryDisk.js'
import { MemoryLinks } from '../__utils__/memoryLinks.js'
import { MemoryLogStore } from '../__utils__/memoryLogStore.js'
import { RecordingMachine } from '../__utils__/recordingMachine.js'
import { ApplyLoop } from '../src/applyLoop.js'
import { encodeCommand } from '../src/entryPayload.js'
import { Proposals } from '../src/proposals.js'
import { Replica } from '../src/replica.js'

const timings = { heartbeatMs: 250, electionTimeoutMs: 1500, replaceVoterAfterMs: 20_000 }
const missingEntries = 3
/** Maximum reads of the log in one second of waiting: one each heartbeat, and one at the commit. */
const readsMax = 6

test('committed entries missing from the log are waited for, logged once, and applied after they arrive', async (t) => {
  const clock = new ManualClock()
  const events: LogEvent[] = []
  const write = (event: LogEvent): void => void events.push(event)
  const store = new MemoryLogStore(new MemoryDisk('disk'), clock, () => 0)
  const read = store.read.bind(store)
  let reads = 0
  store.read = (fromIndex, bytesMax) => {
    reads += 1
    // Ends the test if the loop reads without waiting.
    return reads > 100 ? Promise.reject(new Error('without end')) : read(fromIndex, bytesMax)
  }
  const machine = new RecordingMachine([])
  const replica = new Replica({
    memberId: 'c1',
    initialMembers: [createMember(1)],
    clock,
    logger: { debug: write, info: write, warn: write, error: write },
    store,
    transport: new MemoryLinks(clock, () => 0).createTransport('c1'),
    machine,
    timings,
  })
  const ending = new AbortController()
  const running = new ApplyLoop(replica, new Proposals<number>()).run(ending.signal)
  replica.advanceCommitIndex(missingEntries)
  await clock.advance(1000)
  t.true(reads <= readsMax, `${reads} reads`)
  t.is(events.filter(({ event }) => event === 'raft.apply-waits').length, 1)
  const entries = Array.from({ length: missingEntries }, (_, at) => ({
    index: at + 1,
    term: 1,
    payload: encodeCommand(Buffer.from(`command ${at}`)),
  }))
  void replica.log.append(entries)
  await clock.advance(1000)
  t.is(machine.applied.length, missingEntries)
  ending.abort()
  await clock.advance(1000)
  await running
})
