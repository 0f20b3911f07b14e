import { appendFile, mkdtemp, readFile, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { createContract } from '@nettlespur/control.fakes'
import { StateHolder, type Command } from '@nettlespur/control.state'
import { unwrap } from '@nettlespur/core.errors'
import test from 'ava'
import { SingleNodeLog } from '../src/index.js'

function createFolder(): Promise<string> {
  return mkdtemp(path.join(tmpdir(), 'log-'))
}

async function openLog(dataFolder: string) {
  const holder = new StateHolder()
  const identity = { memberId: 'c1', peerAddress: '127.0.0.1:1', dataCentre: 'dc1' }
  const log = await SingleNodeLog.open({ ...identity, dataFolder, holder })
  return { log, holder }
}

function change(expectedRevision: number): Command {
  const at = '2026-01-01T00:00:00.000Z'
  const changeId = `change-${expectedRevision}`
  const contract = createContract('demo')
  return { type: 'contract.apply', at, change: { changeId, expectedRevision, contract } }
}

/** Writes three records of one command each; gives the bytes of the file. */
async function writeThree(folder: string): Promise<Buffer> {
  const { log } = await openLog(folder)
  for (const revision of [0, 1, 2]) await unwrap(log.propose(change(revision)))
  await log.stop()
  return readFile(path.join(folder, 'control.log'))
}

test('what was proposed is there after a restart, in the order of the proposals', async (t) => {
  const folder = await createFolder()
  const { log, holder } = await openLog(folder)
  await Promise.all([0, 1, 2, 3].map((revision) => unwrap(log.propose(change(revision)))))
  await log.stop()
  t.like((await log.propose(change(4)).run()).extract(), { kind: 'draining' })
  const again = await openLog(folder)
  t.deepEqual(again.holder.state.snapshot(), holder.state.snapshot())
  t.is(again.holder.state.getContract('demo')?.revision, 4)
  await again.log.stop()
})

test('a torn tail is cut at any byte, and the log goes on from there', async (t) => {
  const whole = await writeThree(await createFolder())
  const third = Math.floor(whole.length / 3)
  for (const keep of [third * 2 + 1, third * 2 + 9, whole.length - 1]) {
    const folder = await createFolder()
    await writeFile(path.join(folder, 'control.log'), whole.subarray(0, keep))
    const { log, holder } = await openLog(folder)
    t.is(holder.state.getContract('demo')?.revision, 2)
    await unwrap(log.propose(change(2)))
    await log.stop()
    const again = await openLog(folder)
    t.is(again.holder.state.getContract('demo')?.revision, 3)
    await again.log.stop()
  }
})

test('a tail of zeros, left by an extension that was never written, is cut', async (t) => {
  const folder = await createFolder()
  await writeThree(folder)
  await appendFile(path.join(folder, 'control.log'), Buffer.alloc(100))
  const { log, holder } = await openLog(folder)
  t.is(holder.state.getContract('demo')?.revision, 3)
  await log.stop()
})

test('damage in the middle is refused', async (t) => {
  const folder = await createFolder()
  const bytes = await writeThree(folder)
  const middle = Math.floor(bytes.length / 2)
  bytes.writeUInt8(bytes.readUInt8(middle) ^ 1, middle)
  await writeFile(path.join(folder, 'control.log'), bytes)
  await t.throwsAsync(openLog(folder), { message: /is damaged/ })
})
