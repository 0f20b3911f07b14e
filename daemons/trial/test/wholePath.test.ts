import test from 'ava'
import { createKey } from '@nettlespur/net.keys'
import {
  callEntry,
  createTrialContract,
  TrialCluster,
  type TrialInstance,
} from '../__utils__/index.js'

const workspace = 'thapa'
const callerKey = createKey()

function putContract(cluster: TrialCluster, entry: TrialInstance) {
  return callEntry({
    address: entry.address,
    key: cluster.operatorKey,
    method: 'PUT',
    path: `/v1/contracts/${workspace}?wait=in-force`,
    headers: { 'if-match': '0', 'idempotency-key': 'first' },
    body: JSON.stringify(createTrialContract(workspace, callerKey)),
  })
}

async function runGang(entry: TrialInstance) {
  const job = {
    workspace,
    gang: { accelerators: 4, adjacency: 'upstream' },
    cpuCores: 4,
    memoryBytes: 1024,
    expectedRunTimeMs: 100,
    repeatable: false,
    payload: `from ${entry.id}`,
  }
  const caller = { address: entry.address, key: callerKey }
  const accepted = await callEntry({
    ...caller,
    method: 'POST',
    path: '/v1/jobs',
    body: JSON.stringify(job),
  })
  const { jobId } = accepted.json as { jobId: string }
  const answer = await callEntry({
    ...caller,
    method: 'GET',
    path: `/v1/jobs/${jobId}/answer?waitMs=30000`,
    headers: { 'nettlespur-workspace': workspace },
  })
  return { accepted, answer }
}

test('separate processes take a contract, run a gang and a request through either entry, and log why', async (t) => {
  const cluster = await TrialCluster.start({ controls: 1, entries: 2, upstreams: 2 })
  t.teardown(() => cluster.close())
  const [control] = cluster.controls
  for (const upstream of cluster.upstreams) {
    await control?.process.waitFor(
      'upstream.changed',
      ({ upstreamId }) => upstreamId === upstream.id,
    )
  }
  const [first] = cluster.entries
  if (first === undefined) throw new Error('no entry')
  const applied = await putContract(cluster, first)
  t.is(applied.status, 200)
  t.like(applied.json, { revision: 1, inForceAt: ['e1', 'e2'], notYetInForceAt: [] })

  for (const entry of cluster.entries) {
    const { accepted, answer } = await runGang(entry)
    t.is(accepted.status, 202)
    t.is(answer.status, 200)
    t.true(answer.text.includes(`from ${entry.id}`))
    const request = await callEntry({
      address: entry.address,
      key: callerKey,
      method: 'POST',
      path: '/v1/requests',
      headers: { 'nettlespur-workspace': workspace, 'idempotency-key': `request-${entry.id}` },
      body: `short from ${entry.id}`,
    })
    t.is(request.text, `short from ${entry.id}`)
    const routed = await entry.process.waitFor('request.routed')
    t.truthy(routed.reason)
  }
  const placed = await control?.process.waitFor('placement.decided')
  t.truthy(placed?.reason)
  t.truthy(placed?.upstreams)
})

test('a wrong key learns nothing and changes nothing', async (t) => {
  const cluster = await TrialCluster.start({ controls: 1, entries: 1, upstreams: 0 })
  t.teardown(() => cluster.close())
  const [entry] = cluster.entries
  if (entry === undefined) throw new Error('no entry')
  await putContract(cluster, entry)
  const asked = { address: entry.address, key: createKey(), method: 'GET' }
  const known = await callEntry({ ...asked, path: `/v1/contracts/${workspace}` })
  const other = await callEntry({ ...asked, path: '/v1/contracts/nobody' })
  t.is(known.status, 401)
  t.is(known.text, other.text)
  const changed = await callEntry({
    ...asked,
    method: 'PUT',
    path: `/v1/contracts/${workspace}`,
    headers: { 'if-match': '1', 'idempotency-key': 'second' },
    body: JSON.stringify({ ...createTrialContract(workspace, callerKey), weight: 9 }),
  })
  t.is(changed.status, 401)
  const after = await callEntry({
    ...asked,
    key: cluster.operatorKey,
    path: `/v1/contracts/${workspace}`,
  })
  t.like(after.json, { revision: 1, contract: { weight: 1 } })
})

test('a planned stop of every process ends with exit code 0', async (t) => {
  const cluster = await TrialCluster.start({ controls: 1, entries: 1, upstreams: 1 })
  t.teardown(() => cluster.close())
  for (const instance of [...cluster.upstreams, ...cluster.entries, ...cluster.controls]) {
    t.is(await instance.process.stop(), 0, instance.id)
  }
})
