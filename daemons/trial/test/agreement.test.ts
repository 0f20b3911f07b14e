import { randomInt } from 'node:crypto'
import { rmSync } from 'node:fs'
import type { MemberView } from '@nettlespur/control.api'
import { SystemClock } from '@nettlespur/core.clock'
import { createKey } from '@nettlespur/net.keys'
import test, { type ExecutionContext } from 'ava'
import {
  callEntry,
  createTrialContract,
  TrialCluster,
  waitUntil,
  type TrialInstance,
} from '../__utils__/index.js'

interface Status {
  readonly leaderId: string
  readonly term: number
  readonly members: readonly MemberView[]
  readonly entries: readonly { readonly entryId: string }[]
}

interface Accepted {
  readonly changeId: string
  readonly expectedRevision: number
  readonly text: string
}

const workspace = 'thapa'
const callerKey = createKey()
const clock = new SystemClock()
const changesMade = 100
const killsMax = 8
const stoppedMs = 8000
const electionTimeoutMs = 1200
/** The largest weight that a contract may have; a fast machine makes more changes than that while a follower is stopped. */
const highestWeight = 1000

async function start(t: ExecutionContext, entries = 1) {
  const cluster = await TrialCluster.start({ controls: 3, entries, upstreams: 0 })
  t.teardown(() => cluster.close())
  return cluster
}

function call(cluster: TrialCluster, method: string, path: string, entry = cluster.entries[0]) {
  if (entry === undefined) throw new Error('no entry')
  return callEntry({ address: entry.address, key: cluster.operatorKey, method, path })
}

function awaitStatus(
  cluster: TrialCluster,
  passes: (status: Status) => boolean = () => true,
): Promise<Status> {
  return waitUntil(async () => {
    const answer = await call(cluster, 'GET', '/v1/status')
    const status = answer.json as Status
    return answer.status === 200 && passes(status) ? status : undefined
  })
}

async function findLeader(cluster: TrialCluster): Promise<TrialInstance> {
  const { leaderId } = await awaitStatus(cluster)
  return findControl(cluster, leaderId)
}

function findControl(cluster: TrialCluster, id: string): TrialInstance {
  const control = cluster.controls.find((instance) => instance.id === id)
  if (control === undefined) throw new Error(`no control ${id}`)
  return control
}

function putContract(cluster: TrialCluster, change: Omit<Accepted, 'text'>, inForce = false) {
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

/** Entries are told in the order in which the leader heard of them. */
function listInForce(answer: unknown): string[] {
  return [...(answer as { inForceAt: string[] }).inForceAt].sort()
}

/** As an operator does: the same change again until it has an answer. */
async function changeContract(cluster: TrialCluster, expectedRevision: number): Promise<Accepted> {
  const change = { changeId: `change-${expectedRevision}`, expectedRevision }
  const text = await waitUntil(async () => {
    const answer = await putContract(cluster, change)
    return answer.status === 200 ? answer.text : undefined
  })
  return { ...change, text }
}

async function readContract(cluster: TrialCluster) {
  const answer = await call(cluster, 'GET', `/v1/contracts/${workspace}`)
  return answer.json as { revision: number; contract: { weight: number } }
}

test.serial('three controls elect a leader, take a change and have it in force', async (t) => {
  const cluster = await start(t, 2)
  // A cluster that has just begun knows of an entry once that has asked for the contracts.
  const { members } = await awaitStatus(cluster, ({ entries }) => entries.length === 2)
  t.deepEqual(members.map(({ role }) => role).sort(), ['leader', 'voter', 'voter'])
  const answer = await putContract(cluster, { changeId: 'first', expectedRevision: 0 }, true)
  t.is(answer.status, 200, answer.text)
  t.like(answer.json, { revision: 1, notYetInForceAt: [] })
  t.deepEqual(listInForce(answer.json), ['e1', 'e2'])
})

test.serial(
  'changes acknowledged while leaders are killed at random stay, in order, and resent ones get their first answer',
  async (t) => {
    const cluster = await start(t)
    const accepted: Accepted[] = []
    const stopping = new AbortController()
    const killing = killLeaders(cluster, stopping.signal)
    for (let revision = 0; revision < changesMade; revision++) {
      accepted.push(await changeContract(cluster, revision))
    }
    stopping.abort()
    const kills = await killing
    t.true(kills > 0)
    t.log(`${kills} kills during ${changesMade} changes`)
    t.like(await readContract(cluster), {
      revision: changesMade,
      contract: { weight: changesMade },
    })
    for (const change of accepted) {
      const again = await putContract(cluster, change)
      t.is(again.text, change.text, change.changeId)
    }
  },
)

test.serial(
  'a change accepted just before the leader is killed is in force everywhere afterwards',
  async (t) => {
    const cluster = await start(t, 3)
    const leader = await findLeader(cluster)
    const accepted = await changeContract(cluster, 0)
    const startMs = clock.monotonicMs()
    await leader.process.kill()
    const inForce = await waitUntil(async () => {
      const answer = await putContract(cluster, accepted, true)
      const { notYetInForceAt } = answer.json as { notYetInForceAt?: string[] }
      return answer.status === 200 && notYetInForceAt?.length === 0 ? answer : undefined
    })
    t.log(`in force ${Math.round(clock.monotonicMs() - startMs)} ms after the kill`)
    const { inForceAt } = inForce.json as { inForceAt: string[] }
    t.deepEqual(inForceAt.sort(), ['e1', 'e2', 'e3'])
    t.not((await awaitStatus(cluster)).leaderId, leader.id)
  },
)

test.serial(
  'a control back without its data is a learner, does not vote, and is a voter once it has caught up',
  async (t) => {
    const cluster = await start(t)
    await changeContract(cluster, 0)
    const leader = await findLeader(cluster)
    const [lost, other] = cluster.controls.filter((control) => control !== leader)
    if (lost === undefined || other === undefined) throw new Error('no followers')
    await lost.process.kill()
    await other.process.kill()
    await waitUntil(async () =>
      (await call(cluster, 'GET', '/v1/status')).status === 200 ? undefined : true,
    )
    rmSync(lost.dataFolder, { recursive: true })
    await cluster.restart('control', lost)
    // The leader, which holds the change, and the empty one are no quorum.
    await leader.process.kill()
    await cluster.restart('control', leader)
    await lost.process.waitFor('raft.standing')
    const refused = await putContract(cluster, { changeId: 'change-1', expectedRevision: 1 })
    t.is(refused.status, 503, refused.text)
    t.false(leader.process.lines.some((line) => line.includes('role=leader')))
    await cluster.restart('control', other)
    const { leaderId } = await awaitStatus(cluster, ({ members }) =>
      members.some(({ memberId, role }) => memberId === lost.id && role === 'voter'),
    )
    t.not(leaderId, lost.id)
    await findControl(cluster, leaderId).process.waitFor(
      'raft.membership',
      ({ voters = '' }) => !voters.includes(lost.id),
    )
    t.is((await changeContract(cluster, 1)).changeId, 'change-1')
  },
)

test.serial('a follower stopped for long and back does not unseat the leader', async (t) => {
  const cluster = await start(t)
  const leader = await findLeader(cluster)
  const before = await awaitStatus(cluster)
  const follower = cluster.controls.find((control) => control !== leader)
  if (follower === undefined) throw new Error('no follower')
  follower.process.signal('SIGSTOP')
  let made = 0
  // Longer than any wait for an election: two leases of the entry and more.
  const endMs = clock.monotonicMs() + stoppedMs
  while (clock.monotonicMs() < endMs) {
    await changeContract(cluster, made)
    made++
  }
  follower.process.signal('SIGCONT')
  const caughtUp = await awaitStatus(cluster, ({ members }) =>
    members.every(({ lagEntries, silentMs }) => lagEntries === 0 && silentMs < electionTimeoutMs),
  )
  t.like(caughtUp, { leaderId: before.leaderId, term: before.term })
})

test.serial(
  'all controls killed and started again hold everything, also at another leader',
  async (t) => {
    const cluster = await start(t)
    const accepted = []
    for (let revision = 0; revision < 5; revision++) {
      accepted.push(await changeContract(cluster, revision))
    }
    await Promise.all(cluster.controls.map((control) => control.process.kill()))
    await Promise.all(cluster.controls.map((control) => cluster.restart('control', control)))
    await awaitStatus(cluster)
    t.like(await readContract(cluster), { revision: 5, contract: { weight: 5 } })
    for (const change of accepted) t.is((await putContract(cluster, change)).text, change.text)
  },
)

test.serial(
  'a control that is added stands by, replaces a silent voter, and then outlasts the loss of a second one',
  async (t) => {
    const controlSettings = { timings: { replaceVoterAfterMs: 3000 } }
    const cluster = await TrialCluster.start({
      controls: 3,
      entries: 1,
      upstreams: 0,
      controlSettings,
    })
    t.teardown(() => cluster.close())
    await changeContract(cluster, 0)
    const added = await cluster.addControl('c4')
    const [entry] = cluster.entries
    const peerAddress = added.address
    const body = JSON.stringify({ memberId: 'c4', peerAddress, dataCentre: 'dc4' })
    const post = { method: 'POST', path: '/v1/members', key: cluster.operatorKey, body }
    t.is((await callEntry({ address: entry?.address ?? '', ...post })).status, 202)
    const hasRole = (id: string, wanted: string) => (status: Status) =>
      status.members.some(({ memberId, role }) => memberId === id && role === wanted)
    const standing = await awaitStatus(cluster, hasRole('c4', 'learner'))
    const [first, second] = standing.members.filter(({ role }) => role === 'voter')
    if (first === undefined || second === undefined) throw new Error('no voters')
    await findControl(cluster, first.memberId).process.kill()
    await awaitStatus(cluster, hasRole('c4', 'voter'))
    await findControl(cluster, second.memberId).process.kill()
    await changeContract(cluster, 1)
    t.like(await readContract(cluster), { revision: 2, contract: { weight: 2 } })
  },
)

test.serial(
  'a planned stop of the leader hands over, and no change is refused or unknown meanwhile',
  async (t) => {
    const cluster = await start(t)
    const leader = await findLeader(cluster)
    const stopped = leader.process.stop()
    const answers = []
    for (let revision = 0; revision < 10; revision++) {
      const change = { changeId: `change-${revision}`, expectedRevision: revision }
      answers.push((await putContract(cluster, change)).status)
    }
    t.deepEqual(new Set(answers), new Set([200]))
    t.is(await stopped, 0)
    await leader.process.waitFor('raft.leadership-transfer', ({ done }) => done === 'true')
    t.not((await awaitStatus(cluster)).leaderId, leader.id)
  },
)

/** Kills the leader after a random number of looks at it, starts it again, and so on; gives the kills. */
async function killLeaders(cluster: TrialCluster, signal: AbortSignal): Promise<number> {
  let kills = 0
  while (!signal.aborted && kills < killsMax) {
    for (let looks = randomInt(1, 20); looks > 0; looks--) await call(cluster, 'GET', '/v1/status')
    const leader = await findLeader(cluster)
    await leader.process.kill()
    await cluster.restart('control', leader)
    kills++
  }
  return kills
}
