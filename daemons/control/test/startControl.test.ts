import { mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { RemoteControlApi } from '@nettlespur/control.api'
import { createContract, createJobRequest, FakeUpstreams } from '@nettlespur/control.fakes'
import { SystemClock } from '@nettlespur/core.clock'
import { unwrap } from '@nettlespur/core.errors'
import { createLogger } from '@nettlespur/core.logger'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import { callHttp } from '@nettlespur/net.client'
import { controlSettingsSchema } from '@nettlespur/settings.schemas'
import test from 'ava'
import { startControl } from '../src/index.js'

const clock = new SystemClock()
const peerKey = 'a-peer-key-of-enough-characters'
const member = { memberId: 'c1', peerAddress: '127.0.0.1:0', dataCentre: 'dc1' }
const announcement = {
  address: '127.0.0.1:9',
  dataCentre: 'dc1',
  rack: 'r1',
  slots: 8,
  cpuCores: 32,
  memoryBytes: 1_000_000,
  accelerators: 8,
  state: 'ready' as const,
  tasks: [],
}

function createFolder(): Promise<string> {
  return mkdtemp(path.join(tmpdir(), 'control-'))
}

function createSettings(dataFolder: string) {
  return controlSettingsSchema.parse({
    instanceId: 'c1',
    dataCentre: 'dc1',
    peerAddress: '127.0.0.1:0',
    statusAddress: '127.0.0.1:0',
    dataFolder,
    members: [member],
    keyFiles: { peers: 'not-read' },
  })
}

async function start(dataFolder: string) {
  const upstreams = new FakeUpstreams(clock)
  upstreams.instantAnswer = 'whole'
  const metrics = new MetricsRegistry()
  const lines: string[] = []
  const logger = createLogger({ name: 'control', instanceId: 'c1', write: (l) => lines.push(l) })
  const control = await startControl(createSettings(dataFolder), {
    logger,
    metrics,
    peerKeys: [peerKey],
    createUpstreamClient: () => upstreams,
  })
  const addresses = [control.peerAddress]
  const api = new RemoteControlApi({ clock, addresses, peerKey, timeoutMs: 30_000 })
  const stop = async () => {
    api.close()
    await control.stop()
  }
  return { control, api, lines, metrics, stop }
}

test('a job goes from its contract to its answer over the peer side, and is there after a restart', async (t) => {
  const dataFolder = await createFolder()
  const first = await start(dataFolder)
  t.true(first.lines.some((line) => line.includes(`peerAddress=${first.control.peerAddress}`)))
  const contract = createContract('demo')
  await unwrap(first.api.applyContract({ changeId: 'c', expectedRevision: 0, contract }))
  await unwrap(first.api.announce({ items: [{ upstreamId: 'u1', announcement }] }))
  const { jobId } = await unwrap(first.api.submitJob(createJobRequest({ jobKey: 'k' })))
  const reference = { workspace: 'demo', jobId, waitMs: 20_000 }
  const outcome = await unwrap(first.api.awaitAnswer(reference))
  t.is(outcome.answer?.parts[0]?.body, 'whole')
  await first.stop()
  const second = await start(dataFolder)
  t.deepEqual(await unwrap(second.api.awaitAnswer(reference)), outcome)
  const again = await unwrap(second.api.submitJob(createJobRequest({ jobKey: 'k' })))
  t.like(again, { jobId, state: 'finished' })
  await second.stop()
})

test('a stop answers the calls that wait, instead of cutting them', async (t) => {
  const { api, control, metrics, stop } = await start(await createFolder())
  const contract = createContract('demo')
  await unwrap(api.applyContract({ changeId: 'c', expectedRevision: 0, contract }))
  const { jobId } = await unwrap(api.submitJob(createJobRequest()))
  const waiting = unwrap(api.awaitAnswer({ workspace: 'demo', jobId, waitMs: 60_000 }))
  const hasArrived = () => metrics.counterValue('control_calls_total{call="awaitAnswer"}') > 0
  while (!hasArrived()) await unwrap(api.getStatus())
  await control.stop()
  t.is((await waiting).job.state, 'queued')
  await stop()
})

test('health, readiness and figures are answered over HTTP', async (t) => {
  const { control, stop } = await start(await createFolder())
  const address = control.statusAddress ?? ''
  const get = async (route: string) =>
    unwrap(callHttp({ clock, address, method: 'GET', path: route, timeoutMs: 5000 }))
  t.is((await get('/healthz')).status, 200)
  t.is((await get('/readyz')).status, 200)
  t.regex((await get('/metrics')).body.toString(), /^control_leads 1$/m)
  await stop()
})

test('an instance that is none of the first voters waits to be added, and refuses calls meanwhile', async (t) => {
  const settings = createSettings(await createFolder())
  const members = [{ ...member, memberId: 'c2' }]
  const control = await startControl({ ...settings, members }, { peerKeys: [peerKey] })
  const addresses = [control.peerAddress]
  const api = new RemoteControlApi({ clock, addresses, peerKey, timeoutMs: 30_000 })
  t.like((await api.getStatus().run()).extract(), { kind: 'not-leader' })
  api.close()
  await control.stop()
})
