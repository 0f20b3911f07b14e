import { randomUUID } from 'node:crypto'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import test, { type ExecutionContext } from 'ava'
import { createControlRouter } from '@nettlespur/control.api'
import { SystemClock } from '@nettlespur/core.clock'
import {
  createAnnouncement,
  createContract,
  createUpstream,
  FakeControl,
  FakeUpstream,
  RecordingLogger,
} from '@nettlespur/entry.fakes'
import { callHttp, type HttpAnswer } from '@nettlespur/net.client'
import { createKey } from '@nettlespur/net.keys'
import { createRpcServer } from '@nettlespur/rpc.peer'
import { entrySettingsSchema, type EntrySettings } from '@nettlespur/settings.schemas'
import { readDaemonSettings, resolveInstancePaths } from '@nettlespur/daemons.common'
import { main, startEntry, type RunningEntry } from '../src/index.js'

const clock = new SystemClock()

function createSettings(change: Record<string, unknown> = {}): EntrySettings {
  return entrySettingsSchema.parse({
    instanceId: 'entry-1',
    dataCentre: 'dc1',
    listenAddress: '127.0.0.1:0',
    peerAddress: '127.0.0.1:1',
    control: ['127.0.0.1:1'],
    keysRequired: false,
    keyFiles: { peers: 'none' },
    timings: { watchWaitMs: 100, unreadyNoticeMs: 0 },
    ...change,
  })
}

/** An entry over a fake control, with one upstream that answers as the test says. */
async function start(t: ExecutionContext, change: Record<string, unknown> = {}) {
  const control = new FakeControl(clock)
  const upstream = await FakeUpstream.start()
  control.putContract(createContract())
  control.putUpstream(createUpstream({ address: upstream.address }))
  const logger = new RecordingLogger()
  const keys = { peers: [createKey()], operators: [], upstreams: [] }
  const entry = await startEntry(createSettings(change), { clock, logger, control, keys })
  t.teardown(async () => {
    await entry.stop()
    await upstream.stop()
  })
  await untilReady(entry)
  return { control, upstream, logger, entry }
}

async function send(entry: RunningEntry, method: string, url: string, body?: string) {
  const headers = { 'nettlespur-workspace': 'thapa', 'idempotency-key': randomUUID() }
  const call = {
    clock,
    address: entry.listenAddress,
    method,
    path: url,
    headers,
    timeoutMs: 20_000,
  }
  return callHttp(body === undefined ? call : { ...call, body }).run()
}

async function untilReady(entry: RunningEntry): Promise<void> {
  for (;;) {
    const answer = (await send(entry, 'GET', '/readyz')).unsafeCoerce()
    if (answer.status === 200) return
  }
}

function readKind(answer: HttpAnswer): unknown {
  return (JSON.parse(answer.body.toString()) as { kind: unknown }).kind
}

test('a planned stop cuts no request: each in progress gets its whole answer', async (t) => {
  const { entry, upstream, logger } = await start(t)
  const sent = Array.from({ length: 6 }, (_, index) =>
    send(entry, 'POST', '/v1/requests', `request ${index}`),
  )
  const tasks = await upstream.whenReceived(6)
  const stopped = entry.stop()
  t.is(logger.named('entry.draining').length, 1)
  for (const task of [...tasks].reverse()) task.answer(`answer to ${task.body}`)
  for (const [index, outcome] of (await Promise.all(sent)).entries()) {
    t.is(outcome.unsafeCoerce().body.toString(), `answer to request ${index}`)
  }
  await stopped
  t.is(logger.named('entry.clean-up-failed').length, 0)
  t.is(logger.named('entry.requests-abandoned').length, 0)
  t.like((await send(entry, 'GET', '/healthz')).extract(), { kind: 'unreachable' })
})

test('readiness turns first, while work and announcements are still taken', async (t) => {
  const { entry, upstream, control } = await start(t, {
    timings: { watchWaitMs: 100, unreadyNoticeMs: 600_000 },
    // All of it is notice. A process that stands still for longer sends its request too late, and would wait for ever.
    drainDeadlineMs: 8000,
  })
  const stopped = entry.stop()
  t.is((await send(entry, 'GET', '/readyz')).unsafeCoerce().status, 503)
  const request = send(entry, 'POST', '/v1/requests', 'late')
  const [task] = await upstream.whenReceived(1)
  task?.answer('whole')
  t.is((await request).unsafeCoerce().body.toString(), 'whole')
  const body = JSON.stringify(createAnnouncement())
  const announced = await send(entry, 'POST', '/v1/upstreams/u1/announce', body)
  t.is(announced.unsafeCoerce().status, 200)
  await stopped
  t.is(control.announced.length, 1)
  t.true(control.watched.at(-1)?.leaving, 'control is told last that the entry leaves')
})

test('what is left at the drain deadline is answered "unknown", not cut', async (t) => {
  const { entry, upstream } = await start(t, { drainDeadlineMs: 800 })
  const request = send(entry, 'POST', '/v1/requests', 'endless')
  await upstream.whenReceived(1)
  await entry.stop()
  const answer = (await request).unsafeCoerce()
  t.is(answer.status, 504)
  t.is(readKind(answer), 'outcome-unknown')
})

test('an entry started from its settings file works with control over its peer protocol', async (t) => {
  const folder = mkdtempSync(path.join(tmpdir(), 'nettlespur-entry-'))
  const peerKey = createKey()
  const control = new FakeControl(clock)
  control.putContract(createContract())
  const router = createControlRouter(control)
  const peer = await createRpcServer({ address: '127.0.0.1:0', router, peerKeys: [peerKey] })
  writeFileSync(path.join(folder, 'peers.key'), `${peerKey}\n`)
  const lines = [
    'instanceId: entry-1',
    'dataCentre: dc1',
    'listenAddress: 127.0.0.1:0',
    'peerAddress: 127.0.0.1:1',
    `control: ["${peer.address}"]`,
    'keysRequired: false',
    'keyFiles: { peers: peers.key }',
    'timings: { watchWaitMs: 100, unreadyNoticeMs: 0 }',
    'log: { level: error }',
  ]
  const file = path.join(folder, 'entry.yaml')
  writeFileSync(file, lines.join('\n'))
  const resolvePaths = resolveInstancePaths<EntrySettings>
  const settings = await readDaemonSettings(file, { schema: entrySettingsSchema, resolvePaths })
  const entry = await startEntry(settings)
  t.teardown(async () => {
    await entry.stop()
    await peer.drain()
    rmSync(folder, { recursive: true })
  })
  await untilReady(entry)
  const contract = await send(entry, 'GET', '/v1/contracts/thapa')
  t.like(JSON.parse(contract.unsafeCoerce().body.toString()), { revision: 1 })
})

test('a command line without settings, or with some that cannot be read, ends with exit code 2', async (t) => {
  const before = process.exitCode
  for (const args of [[], ['--settings', path.join(tmpdir(), 'nettlespur-no-such-file.yaml')]]) {
    process.exitCode = 0
    await main(args)
    t.is(process.exitCode, 2, args.join(' '))
  }
  process.exitCode = before
})

test('a fault in the settings is named with its line and path', async (t) => {
  const folder = mkdtempSync(path.join(tmpdir(), 'nettlespur-entry-'))
  const file = path.join(folder, 'entry.yaml')
  const opts = { schema: entrySettingsSchema, resolvePaths: resolveInstancePaths<EntrySettings> }
  const read = () => readDaemonSettings(file, opts)
  writeFileSync(file, 'instanceId: 7\n')
  await t.throwsAsync(read, {
    message: /entry\.yaml:1: instanceId: not allowed, given 7/,
  })
  writeFileSync(file, 'instanceId: [\n')
  await t.throwsAsync(read, { code: 'NETTLESPUR_MALFORMED_YAML' })
  rmSync(folder, { recursive: true })
})
