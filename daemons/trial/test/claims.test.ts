import test, { type ExecutionContext } from 'ava'
import { createKey, formatBearerKey } from '@nettlespur/net.keys'
import { callHttp } from '@nettlespur/net.client'
import { SystemClock } from '@nettlespur/core.clock'
import { unwrap } from '@nettlespur/core.errors'
import { readFileSync } from 'node:fs'
import path from 'node:path'
import {
  callEntry,
  createTrialContract,
  TrialCluster,
  waitUntil,
  type EntryAnswer,
  type TrialInstance,
} from '../__utils__/index.js'

const workspace = 'thapa'
const callerKey = createKey()
const clock = new SystemClock()

interface Run {
  readonly taskId: string
  readonly startedCount: number
}

async function start(t: ExecutionContext) {
  const cluster = await TrialCluster.start({ controls: 1, entries: 2, upstreams: 1 })
  t.teardown(() => cluster.close())
  const [control] = cluster.controls
  const [first, second] = cluster.entries
  const [upstream] = cluster.upstreams
  if (!control || !first || !second || !upstream) throw new Error('the cluster is not whole')
  await callEntry({
    address: first.address,
    key: cluster.operatorKey,
    method: 'PUT',
    path: `/v1/contracts/${workspace}?wait=in-force`,
    headers: { 'if-match': '0', 'idempotency-key': 'first' },
    body: JSON.stringify(createTrialContract(workspace, callerKey)),
  })
  const sent = await send(first, 'warm-up', 'ready?')
  t.is(sent.status, 200)
  return { cluster, control, first, second, upstream }
}

function send(entry: TrialInstance, key: string, body: string, deadlineMs = 20_000) {
  return callEntry({
    address: entry.address,
    key: callerKey,
    method: 'POST',
    path: '/v1/requests',
    headers: {
      'nettlespur-workspace': workspace,
      'idempotency-key': key,
      'nettlespur-deadline-ms': String(deadlineMs),
    },
    body,
  })
}

/** Sends the request again while the entry refuses it and nothing has run: an entry that lacks control for a moment does. */
function sendUntilTaken(entry: TrialInstance, key: string, body: string): Promise<EntryAnswer> {
  return waitUntil('the entry to take the request', async () => {
    const answer = await send(entry, key, body)
    const isRefused = (answer.json as { ran?: string } | undefined)?.ran === 'no'
    return isRefused ? undefined : answer
  })
}

/** Asks the stand-in itself, as no caller can. */
async function askUpstream(
  { folder }: TrialCluster,
  { address }: TrialInstance,
  url: string,
  json?: unknown,
): Promise<unknown> {
  const key = readFileSync(path.join(folder, 'upstreams.key'), 'utf8').trim()
  const call = {
    clock,
    address,
    method: json === undefined ? 'GET' : 'POST',
    path: url,
    headers: { authorization: formatBearerKey(key), 'content-type': 'application/json' },
    timeoutMs: 10_000,
  }
  const body = json === undefined ? {} : { body: JSON.stringify(json) }
  const answer = await unwrap(callHttp({ ...call, ...body }))
  return JSON.parse(answer.body.toString()) as unknown
}

/** The runs other than the first, which `start` made. */
async function listRuns(cluster: TrialCluster, upstream: TrialInstance): Promise<Run[]> {
  const runs = (await askUpstream(cluster, upstream, '/v1/standin/runs')) as Run[]
  return runs.slice(1).filter((run) => run.startedCount > 0)
}

function waitForOneRun(cluster: TrialCluster, upstream: TrialInstance): Promise<true> {
  return waitUntil('one run to start', async () => {
    return (await listRuns(cluster, upstream)).length === 1 ? true : undefined
  })
}

/** A payload that the stand-in works on for `runTimeMs`. */
function work(runTimeMs: number, answer: string): string {
  return JSON.stringify({ runTimeMs, answer })
}

function readKind(answer: EntryAnswer): unknown {
  return (answer.json as { kind?: string } | undefined)?.kind
}

test('an entry killed while its request runs: another entry gives the whole answer of that one run', async (t) => {
  const { cluster, first, second, upstream } = await start(t)
  const cut = send(first, 'k1', work(1500, 'span 7 is clear')).catch(() => undefined)
  await waitForOneRun(cluster, upstream)
  await first.process.kill()
  await cut
  const again = await send(second, 'k1', work(1500, 'span 7 is clear'))
  t.is(again.status, 200)
  t.true(again.text.includes('span 7 is clear'))
  t.is((await listRuns(cluster, upstream)).length, 1)
  const conflict = await send(second, 'k1', 'another body')
  t.is(readKind(conflict), 'idempotency-conflict')
})

test('control killed between claim and answer: the caller gets its answer, and a resend the same one', async (t) => {
  const { cluster, control, first, second, upstream } = await start(t)
  const answered = send(first, 'k2', work(1200, 'span 8 is clear'))
  await waitForOneRun(cluster, upstream)
  await control.process.kill()
  const answer = await answered
  t.is(answer.status, 200)
  await cluster.restart('control', control)
  const again = await waitUntil('the resend to be answered', async () => {
    const resent = await send(second, 'k2', work(1200, 'span 8 is clear'))
    return resent.status === 200 ? resent : undefined
  })
  t.is(again.text, answer.text)
  t.is((await listRuns(cluster, upstream)).length, 1)
})

test('an answer lost on its way is collected for a resend through another entry, after one run', async (t) => {
  const { cluster, first, second, upstream } = await start(t)
  // Until the faults end, the entry cannot learn of the answer by asking on a new connection either.
  const faults = { loseAnswers: ['run'], stall: ['status', 'answer'] }
  await askUpstream(cluster, upstream, '/v1/standin/faults', faults)
  const lost = await send(first, 'k3', 'span 9', 1500)
  t.is(lost.status, 504)
  t.is(readKind(lost), 'outcome-unknown')
  await askUpstream(cluster, upstream, '/v1/standin/faults', {})
  const again = await send(second, 'k3', 'span 9')
  t.is(again.status, 200)
  t.is(again.text, 'span 9')
  t.is((await listRuns(cluster, upstream)).length, 1)
})

test('an upstream that restarted and forgot cannot make "it ran" into "it did not"', async (t) => {
  const { cluster, first, second, upstream } = await start(t)
  const cut = send(first, 'k4', work(60_000, 'never'), 2000)
  await waitForOneRun(cluster, upstream)
  await upstream.process.kill()
  t.is(readKind(await cut), 'outcome-unknown')
  await cluster.restart('upstream', upstream)
  const again = await send(second, 'k4', work(60_000, 'never'), 2000)
  t.is(readKind(again), 'outcome-unknown')
  t.is((again.json as { ran: string }).ran, 'unknown')
})

test('an entry killed before its request took effect: the resend is told so, and the next one runs it once', async (t) => {
  const { cluster, first, second, upstream } = await start(t)
  await askUpstream(cluster, upstream, '/v1/standin/faults', { stall: ['run'] })
  const warmUp = await first.process.waitFor('request.routed')
  const routed = first.process.waitFor('request.routed', ({ taskId }) => taskId !== warmUp.taskId)
  const cut = sendUntilTaken(first, 'k5', 'span 10').catch(() => undefined)
  // Its claim is committed by then: before, the other entry's body could be the one that is claimed.
  await routed
  await waitUntil('the conflict with the claim', async () => {
    const conflict = await send(second, 'k5', 'another body')
    return readKind(conflict) === 'idempotency-conflict' ? true : undefined
  })
  await first.process.kill()
  await cut
  await askUpstream(cluster, upstream, '/v1/standin/faults', {})
  const told = await send(second, 'k5', 'span 10')
  t.is((told.json as { ran: string }).ran, 'no')
  t.is((await listRuns(cluster, upstream)).length, 0)
  const again = await send(second, 'k5', 'span 10')
  t.is(again.text, 'span 10')
  t.is((await listRuns(cluster, upstream)).length, 1)
})

test('an entry frozen for longer than its lease gives its caller, once back, the answer others have', async (t) => {
  const { cluster, control, first, second, upstream } = await start(t)
  const frozen = send(first, 'k6', work(1500, 'span 11 is clear'))
  await waitForOneRun(cluster, upstream)
  first.process.signal('SIGSTOP')
  const resent = await send(second, 'k6', work(1500, 'span 11 is clear'))
  first.process.signal('SIGCONT')
  const resolved = await control.process.waitFor('claim.resolved')
  t.is(resolved.outcome, 'answered')
  t.is((await frozen).text, resent.text)
  t.is((await listRuns(cluster, upstream)).length, 1)
})
