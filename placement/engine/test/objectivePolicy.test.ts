import { createContract, createUpstreamView } from '@nettlespur/control.fakes'
import type { RunningGang } from '@nettlespur/placement.topology'
import test from 'ava'
import fc from 'fast-check'
import {
  createPolicy,
  measureUnusableShare,
  createPlacedGang,
  type PlacementDecision,
  type PlacementView,
} from '../src/index.js'
import { createJob } from './fakeCluster.js'

const contracts = ['a', 'other'].map((workspace) => createContract(workspace))
const base = { nowMs: 0, contracts }
const sizes = fc.constantFrom(1, 2, 3, 4, 5, 8, 12, 16, 20)
const adjacencies = fc.constantFrom('upstream' as const, 'rack' as const, 'none' as const)

function createUpstreams(): PlacementView['upstreams'] {
  return [0, 1, 2, 3, 4, 5].map((index) =>
    createUpstreamView(`u${index}`, { rack: `r${Math.floor(index / 3)}` }),
  )
}

/** Creates an unstoppable gang, so that its accelerators cannot be reclaimed. */
function createHeldGang(upstreamId: string, acceleratorIndexes: readonly number[]): RunningGang {
  const accelerators = acceleratorIndexes.length
  const gang = { accelerators, adjacency: 'upstream' as const }
  const job = createJob('held', { gang, workspace: 'other', stoppability: 'never' })
  return createPlacedGang(job, [{ upstreamId, acceleratorIndexes }])
}

function decide(view: PlacementView): PlacementDecision[] {
  return createPolicy('completionTime').decide(view)
}

const views = fc
  .record({
    gangs: fc.array(fc.record({ accelerators: sizes, adjacency: adjacencies }), { maxLength: 12 }),
    held: fc.uniqueArray(fc.integer({ min: 0, max: 47 }), { maxLength: 30 }),
  })
  .map(({ gangs, held }): PlacementView => {
    const waiting = gangs.map((gang, index) => {
      return createJob(`j${index}`, { gang, workspace: index % 2 === 0 ? 'a' : 'other' })
    })
    const blocks = held.map((index) => createHeldGang(`u${Math.floor(index / 8)}`, [index % 8]))
    return { ...base, upstreams: createUpstreams(), running: blocks, waiting }
  })

function listPlaced(decisions: readonly PlacementDecision[]) {
  return decisions.filter((decision) => decision.kind === 'place')
}

test('each waiting job gets one decision, and no accelerator is assigned to two jobs', (t) => {
  const property = fc.property(views, (view) => {
    const decisions = decide(view)
    t.deepEqual(decisions.map((d) => d.jobId).sort(), view.waiting.map((job) => job.jobId).sort())
    const held = view.running.flatMap((gang) => gang.blocks)
    const blocks = [...held, ...listPlaced(decisions).flatMap((decision) => decision.blocks)]
    const names = blocks.flatMap((b) => b.acceleratorIndexes.map((i) => `${b.upstreamId}/${i}`))
    t.is(new Set(names).size, names.length)
  })
  fc.assert(property)
})

test('every placement has all its accelerators, aligned and with the requested adjacency', (t) => {
  const property = fc.property(views, (view) => {
    for (const { jobId, blocks } of listPlaced(decide(view))) {
      const job = view.waiting.find((waiting) => waiting.jobId === jobId)
      const { accelerators, adjacency } = job?.gang ?? { accelerators: 0, adjacency: 'none' }
      const counts = blocks.map((block) => block.acceleratorIndexes.length)
      t.is(
        counts.reduce((sum, count) => sum + count, 0),
        accelerators,
      )
      const upstreams = view.upstreams.filter((u) =>
        blocks.some((b) => b.upstreamId === u.upstreamId),
      )
      t.is(upstreams.length, blocks.length)
      if (adjacency === 'none') continue
      t.is(new Set(upstreams.map((upstream) => upstream.rack)).size, 1)
      if (adjacency === 'upstream') t.is(blocks.length, 1)
      t.true(counts.filter((count) => count < 8).length <= 1)
      for (const { acceleratorIndexes: indexes } of blocks) {
        const first = indexes[0] ?? 0
        t.deepEqual(
          indexes,
          [...indexes.keys()].map((offset) => first + offset),
        )
        if ([1, 2, 4, 8].includes(indexes.length)) t.is(first % indexes.length, 0)
      }
    }
  })
  fc.assert(property)
})

test('a small gang is placed in the smallest free block that fits', (t) => {
  const held = [createHeldGang('u0', [0, 1, 2, 3]), createHeldGang('u1', [0, 1, 4, 5, 6, 7])]
  const gang = { accelerators: 2, adjacency: 'upstream' as const }
  const waiting = [createJob('j', { gang })]
  const [decision] = decide({ ...base, upstreams: createUpstreams(), running: held, waiting })
  t.like(decision, { kind: 'place', blocks: [{ upstreamId: 'u1', acceleratorIndexes: [2, 3] }] })
})

test('unstoppable small jobs do not start on the forming block of a waiting large gang', (t) => {
  const held = [createHeldGang('u0', [0]), createHeldGang('u1', [0, 1, 2])]
  const upstreams = createUpstreams().slice(0, 2)
  const large = createJob('large', { gang: { accelerators: 8, adjacency: 'upstream' } })
  const small = [0, 1, 2, 3, 4, 5, 6].map((index) =>
    createJob(`s${index}`, { workspace: 'other', stoppability: 'never' }),
  )
  const decisions = decide({
    ...base,
    upstreams,
    running: held,
    waiting: [large, ...small],
  })
  const blocks = listPlaced(decisions).flatMap((decision) => decision.blocks)
  t.is(blocks.length, 5)
  t.true(blocks.every((block) => block.upstreamId === 'u1'))
})

test('a job over the limit of its contract waits with that reason, and urgent jobs come first', (t) => {
  const waiting = [createJob('a'), createJob('b', { urgency: 'urgent' })]
  const limited = [createContract('a', { concurrentAccelerators: 1 })]
  const view = { ...base, upstreams: createUpstreams(), running: [], waiting, contracts: limited }
  const [first, second] = decide(view)
  t.like(first, { kind: 'place', jobId: 'b' })
  t.like(second, { kind: 'wait', jobId: 'a' })
  t.regex(second?.reason ?? '', /at the 1 accelerators its contract allows/)
})

test('canEverFit is false only for a shape that does not fit on idle upstreams', (t) => {
  const upstreams = createUpstreams()
  const canFit = (accelerators: number, adjacency: 'upstream' | 'rack', cpuCores = 0) =>
    createPolicy('completionTime').canEverFit(
      { gang: { accelerators, adjacency }, cpuCores, memoryBytes: 0 },
      upstreams,
    )
  t.true(canFit(8, 'upstream'))
  t.false(canFit(9, 'upstream'))
  t.true(canFit(24, 'rack'))
  t.false(canFit(25, 'rack'))
  t.false(canFit(1, 'upstream', 33))
})

test('free accelerators that are not adjacent count as unusable', (t) => {
  const upstreams = createUpstreams().slice(0, 1)
  const held = [createHeldGang('u0', [0, 4])]
  const share = (accelerators: number) =>
    measureUnusableShare({ upstreams, running: held }, { accelerators, adjacency: 'upstream' })
  t.is(share(1), 0)
  t.is(share(2), 2 / 6)
  t.is(share(4), 1)
})
