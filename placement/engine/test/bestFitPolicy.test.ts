import { createUpstreamView } from '@nettlespur/control.fakes'
import test from 'ava'
import fc from 'fast-check'
import {
  BestFitPolicy,
  measureUnusableShare,
  type HeldBlock,
  type PlacementDecision,
  type PlacementView,
  type WaitingJob,
} from '../src/index.js'

const policy = new BestFitPolicy()
const acceleratorLimits = new Map([
  ['demo', 1000],
  ['other', 1000],
])
const sizes = fc.constantFrom(1, 2, 3, 4, 5, 8, 12, 16, 20)
const adjacencies = fc.constantFrom('upstream' as const, 'rack' as const, 'none' as const)

function createJob(jobId: string, fields: Partial<WaitingJob> = {}): WaitingJob {
  const gang = { accelerators: 1, adjacency: 'upstream' as const }
  const workspace = 'demo'
  return { jobId, workspace, gang, cpuCores: 0, memoryBytes: 0, urgency: 'normal', ...fields }
}

function createRacks(): PlacementView['upstreams'] {
  return [0, 1, 2, 3, 4, 5].map((index) =>
    createUpstreamView(`u${index}`, { rack: `r${Math.floor(index / 3)}` }),
  )
}

function hold(upstreamId: string, acceleratorIndexes: readonly number[]): HeldBlock {
  return { upstreamId, acceleratorIndexes, workspace: 'other', cpuCores: 0, memoryBytes: 0 }
}

const views = fc
  .record({
    gangs: fc.array(fc.record({ accelerators: sizes, adjacency: adjacencies }), { maxLength: 12 }),
    held: fc.uniqueArray(fc.integer({ min: 0, max: 47 }), { maxLength: 30 }),
  })
  .map(({ gangs, held }): PlacementView => {
    const waiting = gangs.map((gang, index) => {
      return createJob(`j${index}`, { gang, workspace: index % 2 === 0 ? 'demo' : 'other' })
    })
    const blocks = held.map((index) => hold(`u${Math.floor(index / 8)}`, [index % 8]))
    return { upstreams: createRacks(), held: blocks, waiting, acceleratorLimits }
  })

function listPlaced(decisions: readonly PlacementDecision[]) {
  return decisions.filter((decision) => decision.kind === 'place')
}

test('each waiting job gets one decision, and no accelerator goes to two', (t) => {
  const property = fc.property(views, (view) => {
    const decisions = policy.decide(view)
    t.deepEqual(decisions.map((d) => d.jobId).sort(), view.waiting.map((job) => job.jobId).sort())
    const blocks = [...view.held, ...listPlaced(decisions).flatMap((decision) => decision.blocks)]
    const names = blocks.flatMap((b) => b.acceleratorIndexes.map((i) => `${b.upstreamId}/${i}`))
    t.is(new Set(names).size, names.length)
  })
  fc.assert(property)
})

test('every placement has all its accelerators, aligned and as adjacent as asked', (t) => {
  const property = fc.property(views, (view) => {
    for (const { jobId, blocks } of listPlaced(policy.decide(view))) {
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

test('a small gang goes where it breaks up the least', (t) => {
  const held = [hold('u0', [0, 1, 2, 3]), hold('u1', [0, 1, 4, 5, 6, 7])]
  const gang = { accelerators: 2, adjacency: 'upstream' as const }
  const waiting = [createJob('j', { gang })]
  const [decision] = policy.decide({ upstreams: createRacks(), held, waiting, acceleratorLimits })
  t.like(decision, { kind: 'place', blocks: [{ upstreamId: 'u1', acceleratorIndexes: [2, 3] }] })
})

test('small jobs behind a waiting large one do not take the block that forms for it', (t) => {
  const held = [hold('u0', [0]), hold('u1', [0, 1, 2])]
  const upstreams = createRacks().slice(0, 2)
  const large = createJob('large', { gang: { accelerators: 8, adjacency: 'upstream' } })
  const small = [0, 1, 2, 3, 4, 5, 6].map((index) => createJob(`s${index}`, { workspace: 'other' }))
  const decisions = policy.decide({
    upstreams,
    held,
    waiting: [large, ...small],
    acceleratorLimits,
  })
  const blocks = listPlaced(decisions).flatMap((decision) => decision.blocks)
  t.is(blocks.length, 5)
  t.true(blocks.every((block) => block.upstreamId === 'u1'))
})

test('jobs beyond the limit of their contract wait and say so; urgent ones come first', (t) => {
  const waiting = [createJob('a'), createJob('b', { urgency: 'urgent' })]
  const limits = new Map([['demo', 1]])
  const view = { upstreams: createRacks(), held: [], waiting, acceleratorLimits: limits }
  const [first, second] = policy.decide(view)
  t.like(first, { kind: 'place', jobId: 'b' })
  t.like(second, { kind: 'wait', jobId: 'a' })
  t.regex(second?.reason ?? '', /holds 1 of the 1 accelerators/)
})

test('a shape that no set of upstreams can hold is told from one that only has to wait', (t) => {
  const upstreams = createRacks()
  const canFit = (accelerators: number, adjacency: 'upstream' | 'rack', cpuCores = 0) =>
    policy.canEverFit({ gang: { accelerators, adjacency }, cpuCores, memoryBytes: 0 }, upstreams)
  t.true(canFit(8, 'upstream'))
  t.false(canFit(9, 'upstream'))
  t.true(canFit(24, 'rack'))
  t.false(canFit(25, 'rack'))
  t.false(canFit(1, 'upstream', 33))
})

test('free accelerators that are not adjacent count as unusable', (t) => {
  const upstreams = createRacks().slice(0, 1)
  const held = [hold('u0', [0, 4])]
  const share = (accelerators: number) =>
    measureUnusableShare({ upstreams, held }, { accelerators, adjacency: 'upstream' })
  t.is(share(1), 0)
  t.is(share(2), 2 / 6)
  t.is(share(4), 1)
})
