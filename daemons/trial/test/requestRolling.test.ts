import test from 'ava'
import { SystemClock } from '@nettlespur/core.clock'
import { hashKey, createKey } from '@nettlespur/net.keys'
import { Balancer, callEntry, waitUntil } from '../__utils__/index.js'
import {
  callUpstream,
  createCall,
  listRuns,
  putContract,
  startRequestTrial,
} from './requestTrial.js'

const clock = new SystemClock()

test('a restart of all entries one by one under load loses no request and doubles none', async (t) => {
  const { cluster, key } = await startRequestTrial(t, { controls: 1, entries: 3, upstreams: 2 })
  const addresses = cluster.entries.map((entry) => entry.address)
  const balancer = new Balancer({ addresses, key })
  t.teardown(() => {
    balancer.stop()
  })
  const allReady = () => Promise.resolve(balancer.ready.length === 3 ? true : undefined)
  await waitUntil('all entries to be ready', allReady)
  let stopping = false
  let answered = 0
  const lost: string[] = []
  const work = async (worker: number) => {
    for (let sent = 0; !stopping; sent++) {
      const expected = `${worker}-${sent}`
      const body = JSON.stringify({ runTimeMs: 40, answer: expected })
      try {
        const answer = await balancer.call(createCall(body))
        if (answer.status === 200 && answer.text === expected) answered += 1
        else lost.push(`${answer.status} ${answer.text}`)
      } catch (thrown) {
        lost.push(String(thrown))
      }
    }
  }
  const workers = [0, 1, 2, 3].map(work)
  for (const entry of cluster.entries) {
    t.is(await entry.process.stop(), 0)
    const before = answered
    await cluster.restart('entry', entry)
    await waitUntil('all entries to be ready', allReady)
    await waitUntil('20 more answers', () =>
      Promise.resolve(answered > before + 20 ? true : undefined),
    )
  }
  stopping = true
  await Promise.all(workers)
  t.deepEqual(lost, [])
  const runs = await listRuns(cluster)
  t.true(runs.every((run) => run.startedCount === 1))
  t.true(answered > 60)
})

test('an upstream that leaves gets no new work through any entry two seconds later', async (t) => {
  const { cluster, key } = await startRequestTrial(t, { controls: 1, entries: 3, upstreams: 2 })
  const send = async () => {
    const sentMs = clock.monotonicMs()
    const answers = await Promise.all(
      cluster.entries.map(({ address }) => callEntry({ ...createCall('short'), address, key })),
    )
    return { sentMs, used: answers.map(({ headers }) => headers['nettlespur-upstream-id']) }
  }
  const seen = new Set<unknown>()
  await waitUntil('both upstreams to be used', async () => {
    for (const upstreamId of (await send()).used) seen.add(upstreamId)
    return seen.size === 2 ? true : undefined
  })
  const leave = { method: 'POST', path: '/v1/standin/leave' }
  const leftMs = clock.monotonicMs()
  t.is((await callUpstream(cluster, cluster.upstreams[0], leave)).status, 200)
  const late: unknown[] = []
  await waitUntil('60 answers after the departure', async () => {
    const { sentMs, used } = await send()
    if (sentMs - leftMs > 2000) late.push(...used)
    return late.length >= 60 ? true : undefined
  })
  t.deepEqual([...new Set(late)], ['u2'])
})

test('an entry frozen for longer than its lease serves nothing on the contract it held', async (t) => {
  const trial = await startRequestTrial(t, { controls: 1, entries: 2, upstreams: 1 })
  const { cluster, key: formerKey, contract } = trial
  const [frozen, other] = cluster.entries
  if (frozen === undefined || other === undefined) return
  const createOwn = () => ({ ...createCall('short'), address: frozen.address })
  t.is((await callEntry({ ...createOwn(), key: formerKey })).status, 200)
  frozen.process.signal('SIGSTOP')
  const newKey = createKey()
  const keys = [{ id: 'caller', sha256: hashKey(newKey) }]
  const held = Array.from({ length: 5 }, () => callEntry({ ...createOwn(), key: formerKey }))
  const changed = await putContract(cluster, other, { ...contract, keys }, 1)
  t.like(changed.json, { revision: 2, notYetInForceAt: [] })
  const before = (await listRuns(cluster)).length
  frozen.process.signal('SIGCONT')
  for (const answer of await Promise.all(held)) {
    t.not(answer.status, 200)
    t.like(answer.json, { ran: 'no' })
  }
  t.is((await listRuns(cluster)).length, before)
  await waitUntil('the new key to be served', async () => {
    const answer = await callEntry({ ...createOwn(), key: newKey })
    return answer.status === 200 ? true : undefined
  })
  t.is((await callEntry({ ...createOwn(), key: formerKey })).status, 401)
})
