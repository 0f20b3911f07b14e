import { randomUUID } from 'node:crypto'
import { readFileSync } from 'node:fs'
import path from 'node:path'
import type { ExecutionContext } from 'ava'
import type { Contract } from '@nettlespur/api.schemas'
import { createKey } from '@nettlespur/net.keys'
import {
  callEntry,
  createTrialContract,
  TrialCluster,
  waitUntil,
  type TrialClusterOptions,
  type TrialInstance,
} from '../__utils__/index.js'

export const workspace = 'thapa'

interface Run {
  readonly taskId: string
  readonly startedCount: number
}

/** A cluster whose entries all know a contract and every upstream. */
export async function startRequestTrial(t: ExecutionContext, opts: TrialClusterOptions) {
  const cluster = await TrialCluster.start(opts)
  t.teardown(() => cluster.close())
  const key = createKey()
  const contract = createTrialContract(workspace, key)
  await putContract(cluster, cluster.entries[0], contract, 0)
  const [first] = cluster.entries
  await waitUntil('all upstreams to be known', async () => {
    const asked = { method: 'GET', path: '/v1/status', key: cluster.operatorKey }
    const { json } = await callEntry({ ...asked, address: first?.address ?? '' })
    const { upstreams } = json as { upstreams: unknown[] }
    return upstreams.length === opts.upstreams ? true : undefined
  })
  await waitUntil('every entry to serve the contract', async () => {
    const answers = await Promise.all(
      cluster.entries.map(({ address }) => callEntry({ ...createCall('ready?'), address, key })),
    )
    return answers.every(({ status }) => status === 200) ? true : undefined
  })
  return { cluster, key, contract }
}

export function putContract(
  cluster: TrialCluster,
  entry: TrialInstance | undefined,
  contract: Contract,
  revision: number,
) {
  return callEntry({
    address: entry?.address ?? '',
    key: cluster.operatorKey,
    method: 'PUT',
    path: `/v1/contracts/${workspace}?wait=in-force`,
    headers: { 'if-match': String(revision), 'idempotency-key': `change-${revision}` },
    body: JSON.stringify(contract),
  })
}

export function createCall(body: string) {
  const headers = { 'nettlespur-workspace': workspace, 'idempotency-key': randomUUID() }
  return { method: 'POST', path: '/v1/requests', headers, body }
}

export function callUpstream(
  cluster: TrialCluster,
  upstream: TrialInstance | undefined,
  call: { method: string; path: string; body?: string },
) {
  const key = readFileSync(path.join(cluster.folder, 'upstreams.key'), 'utf8').trim()
  return callEntry({ ...call, address: upstream?.address ?? '', key })
}

/** Every task that any upstream of the cluster was given. */
export async function listRuns(cluster: TrialCluster): Promise<Run[]> {
  const answers = await Promise.all(
    cluster.upstreams.map((upstream) =>
      callUpstream(cluster, upstream, { method: 'GET', path: '/v1/standin/runs' }),
    ),
  )
  return answers.flatMap(({ json }) => json as Run[])
}
