/** Three controls as separate processes: elections, lost and added members, and changes that stay. */
import { rmSync } from 'node:fs'
import { SystemClock } from '@nettlespur/core.clock'
import test from 'ava'
import {
  awaitStatus,
  callEntry,
  callOperator,
  changeContract,
  findControl,
  findLeader,
  killLeaders,
  listInForce,
  putContract,
  readContract,
  startAgreementTrial,
  TrialCluster,
  waitUntil,
  type Accepted,
  type Status,
} from '../__utils__/index.js'

const clock = new SystemClock()
const changesMade = 100
const stoppedMs = 8000
const electionTimeoutMs = 1200

test.serial('three controls elect a leader, take a change and have it in force', async (t) => {
  const cluster = await startAgreementTrial(t, 2)
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
    const cluster = await startAgreementTrial(t)
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
    const cluster = await startAgreementTrial(t, 3)
    const leader = await findLeader(cluster)
    const accepted = await changeContract(cluster, 0)
    const startMs = clock.monotonicMs()
    await leader.process.kill()
    const inForce = await waitUntil('the change to be in force', async () => {
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
    const cluster = await startAgreementTrial(t)
    await changeContract(cluster, 0)
    const leader = await findLeader(cluster)
    const [lost, other] = cluster.controls.filter((control) => control !== leader)
    if (lost === undefined || other === undefined) throw new Error('no followers')
    await lost.process.kill()
    await other.process.kill()
    await waitUntil('the quorum to be lost', async () =>
      (await callOperator(cluster, 'GET', '/v1/status')).status === 200 ? undefined : true,
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
  const cluster = await startAgreementTrial(t)
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
    const cluster = await startAgreementTrial(t)
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
    const cluster = await startAgreementTrial(t)
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
