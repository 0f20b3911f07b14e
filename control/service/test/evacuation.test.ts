/** Evacuation of a data centre: its upstreams get no new work at once, and what runs there goes on. */
import { createAnnouncement } from '@nettlespur/api.samples'
import { unwrap } from '@nettlespur/core.errors'
import { orderEvacuation } from '@nettlespur/core.evacuations'
import test from 'ava'
import { createContractChange, runUntil, startNode, submit, type TestNode } from './startNode.js'

const dataCentres = ['dc1', 'dc2']
const gang = { accelerators: 8, adjacency: 'upstream' as const }

async function startTwo(t: Parameters<typeof startNode>[0], folder?: string) {
  const node = await startNode(t, folder)
  if (folder === undefined) await unwrap(node.node.applyContract(createContractChange('one', 0)))
  await announceAll(node)
  return node
}

/** One upstream in each data centre. */
async function announceAll({ node }: TestNode): Promise<void> {
  const items = dataCentres.map((dataCentre, at) => ({
    upstreamId: `u-${dataCentre}`,
    announcement: createAnnouncement({ address: `127.0.0.${at + 1}:9`, dataCentre }),
  }))
  await unwrap(node.announce({ items }))
}

async function order({ node }: TestNode, dataCentre: string, isInForce: boolean): Promise<void> {
  const calls = {
    list: () => node.listEvacuations(),
    change: (change: Parameters<typeof node.changeEvacuation>[0]) => node.changeEvacuation(change),
  }
  await unwrap(orderEvacuation(calls, { dataCentre, isInForce }))
}

function whereIs({ holder }: TestNode, jobId: string): string | undefined {
  return holder.state.getLiveJob(jobId)?.placement?.members[0]?.upstreamId
}

test('a job goes to the data centre that is not evacuated, and one more waits until the other is taken back', async (t) => {
  const node = await startTwo(t)
  await order(node, 'dc1', true)
  const first = await submit(node, { gang })
  await runUntil(node, () => whereIs(node, first) === 'u-dc2')
  const second = await submit(node, { gang })
  await runUntil(node, () => node.lines.some((line) => line.includes('event=placement.waits')))
  t.is(whereIs(node, second), undefined)
  const { waitsFor } = await unwrap(node.node.explainJob({ workspace: 'demo', jobId: second }))
  t.true(
    waitsFor.some((line) => line.includes('dc1 is evacuated')),
    waitsFor.join('\n'),
  )
  await order(node, 'dc1', false)
  await runUntil(node, () => whereIs(node, second) === 'u-dc1')
  t.pass()
})

test('a gang that only the evacuated data centre can hold waits, and the reason names it', async (t) => {
  const node = await startTwo(t)
  await order(node, 'dc1', true)
  const wide = { accelerators: 16, adjacency: 'none' as const }
  const jobId = await submit(node, { gang: wide })
  await runUntil(node, () => node.lines.some((line) => line.includes('event=placement.waits')))
  const { waitsFor } = await unwrap(node.node.explainJob({ workspace: 'demo', jobId }))
  t.regex(waitsFor[0] ?? '', /without the evacuated data centres.* dc1/)
})

test('a gang that runs in a data centre goes on when that is evacuated', async (t) => {
  const node = await startTwo(t)
  await order(node, 'dc2', true)
  const jobId = await submit(node, { gang, repeatable: true })
  const taskId = `${jobId}.1.0`
  await runUntil(node, () => node.client.getState(taskId) === 'running')
  await order(node, 'dc1', true)
  await order(node, 'dc2', false)
  await node.clock.advance(5000)
  t.is(node.client.getState(taskId), 'running')
  t.is(whereIs(node, jobId), 'u-dc1')
})

test('the next leader holds the evacuation, and entries learn of it with the upstream', async (t) => {
  const former = await startTwo(t)
  await order(former, 'dc1', true)
  await former.stop()
  const node = await startTwo(t, former.dataFolder)
  const { upstreams } = await unwrap(node.node.getStatus())
  t.deepEqual(upstreams.map(({ upstreamId, state }) => `${upstreamId} ${state}`).sort(), [
    'u-dc1 evacuated',
    'u-dc2 ready',
  ])
  const jobId = await submit(node, { gang })
  await runUntil(node, () => whereIs(node, jobId) === 'u-dc2')
  t.deepEqual(await unwrap(node.node.listEvacuations()), [
    { dataCentre: 'dc1', isInForce: true, revision: 1 },
    { dataCentre: 'dc2', isInForce: false, revision: 0 },
  ])
})
