/** Calls of an operator to a cluster of three controls, and kills of its leaders. */
import { randomInt } from 'node:crypto'
import type { MemberView } from '@nettlespur/control.api'
import { createKey } from '@nettlespur/net.keys'
import type { ExecutionContext } from 'ava'
import { callEntry } from './callEntry.js'
import { createTrialContract } from './createTrialContract.js'
import { TrialCluster, type TrialInstance } from './trialCluster.js'
import { waitUntil } from './waitUntil.js'

export interface Status {
  readonly leaderId: string
  readonly term: number
  readonly members: readonly MemberView[]
  readonly entries: readonly { readonly entryId: string }[]
}

export interface Accepted {
  readonly changeId: string
  readonly expectedRevision: number
  readonly text: string
}

const workspace = 'thapa'
const callerKey = createKey()
const killsMax = 8
/** The largest weight that a contract may have; a fast machine makes more changes than that while a follower is stopped. */
const highestWeight = 1000

/** Starts three controls. They stop with the test. */
export async function startAgreementTrial(t: ExecutionContext, entries = 1) {
  const cluster = await TrialCluster.start({ controls: 3, entries, upstreams: 0 })
  t.teardown(() => cluster.close())
  return cluster
}

export function callOperator(
  cluster: TrialCluster,
  method: string,
  path: string,
  entry = cluster.entries[0],
) {
  if (entry === undefined) throw new Error('no entry')
  return callEntry({ address: entry.address, key: cluster.operatorKey, method, path })
}

export function awaitStatus(
  cluster: TrialCluster,
  passes: (status: Status) => boolean = () => true,
): Promise<Status> {
  return waitUntil('a status of this kind', async () => {
    const answer = await callOperator(cluster, 'GET', '/v1/status')
    const status = answer.json as Status
    return answer.status === 200 && passes(status) ? status : undefined
  })
}

export async function findLeader(cluster: TrialCluster): Promise<TrialInstance> {
  const { leaderId } = await awaitStatus(cluster)
  return findControl(cluster, leaderId)
}

export function findControl(cluster: TrialCluster, id: string): TrialInstance {
  const control = cluster.controls.find((instance) => instance.id === id)
  if (control === undefined) throw new Error(`no control ${id}`)
  return control
}

export function putContract(
  cluster: TrialCluster,
  change: Omit<Accepted, 'text'>,
  inForce = false,
) {
  const [entry] = cluster.entries
  if (entry === undefined) throw new Error('no entry')
  return callEntry({
    address: entry.address,
    key: cluster.operatorKey,
    method: 'PUT',
    path: `/v1/contracts/${workspace}${inForce ? '?wait=in-force' : ''}`,
    headers: {
      'if-match': String(change.expectedRevision),
      'idempotency-key': change.changeId,
    },
    body: JSON.stringify({
      ...createTrialContract(workspace, callerKey),
      weight: (change.expectedRevision % highestWeight) + 1,
    }),
  })
}

/** Returns the entries in alphabetical order; the answer lists them as the leader heard of them. */
export function listInForce(answer: unknown): string[] {
  return [...(answer as { inForceAt: string[] }).inForceAt].sort()
}

/** Sends the same change again until it is answered, as an operator does. */
export async function changeContract(
  cluster: TrialCluster,
  expectedRevision: number,
): Promise<Accepted> {
  const change = { changeId: `change-${expectedRevision}`, expectedRevision }
  const text = await waitUntil(`${change.changeId} to be accepted`, async () => {
    const answer = await putContract(cluster, change)
    return answer.status === 200 ? answer.text : undefined
  })
  return { ...change, text }
}

export async function readContract(cluster: TrialCluster) {
  const answer = await callOperator(cluster, 'GET', `/v1/contracts/${workspace}`)
  return answer.json as { revision: number; contract: { weight: number } }
}

/** Kills the leader after a random number of status calls, restarts it, and repeats that; resolves to the number of kills. */
export async function killLeaders(cluster: TrialCluster, signal: AbortSignal): Promise<number> {
  let kills = 0
  while (!signal.aborted && kills < killsMax) {
    for (let calls = randomInt(1, 20); calls > 0; calls--)
      await callOperator(cluster, 'GET', '/v1/status')
    const leader = await findLeader(cluster)
    await leader.process.kill()
    await cluster.restart('control', leader)
    kills++
  }
  return kills
}
