import { checkPlan } from '@nettlespur/placement.plan'
import type { RunningGang } from '@nettlespur/placement.topology'
import test from 'ava'
import fc from 'fast-check'
import { createPolicy, type Objective } from '../src/index.js'
import { createGuaranteed, createJob, createUpstreams, FakeCluster } from './fakeCluster.js'

const objectives: readonly Objective[] = ['completionTime', 'fragmentation']
const shapes = fc.oneof(
  fc.record({
    accelerators: fc.constantFrom(1, 2, 3, 4, 8),
    adjacency: fc.constant('upstream' as const),
  }),
  fc.record({ accelerators: fc.constantFrom(12, 16), adjacency: fc.constant('rack' as const) }),
  fc.record({ accelerators: fc.constantFrom(3, 6), adjacency: fc.constant('none' as const) }),
)
const guarantees = fc.array(
  fc.record({
    accelerators: fc.constantFrom(1, 2, 4, 8),
    adjacency: fc.constant('upstream' as const),
    count: fc.integer({ min: 1, max: 2 }),
  }),
  { maxLength: 2 },
)
const arrival = fc.record({
  kind: fc.constant('submit' as const),
  gang: shapes,
  workspace: fc.constantFrom('a', 'b', 'c'),
  stoppability: fc.constantFrom('checkpoint' as const, 'repeat' as const, 'never' as const),
  urgency: fc.constantFrom('normal' as const, 'normal' as const, 'urgent' as const),
  cpuCores: fc.constantFrom(0, 1, 6),
})
const event = fc.oneof(
  { weight: 6, arbitrary: arrival },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('end' as const), pick: fc.nat(50) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cancel' as const), pick: fc.nat(50) }) },
)
const failure = fc.record({
  kind: fc.constantFrom('fail' as const, 'recover' as const),
  pick: fc.nat(5),
})
const contracts = fc.tuple(guarantees, guarantees).map(([a, b]) => {
  return [createGuaranteed('a', a), createGuaranteed('b', b), createGuaranteed('c', [])]
})

type Event =
  | (typeof event extends fc.Arbitrary<infer T> ? T : never)
  | (typeof failure extends fc.Arbitrary<infer T> ? T : never)

function apply(cluster: FakeCluster, happening: Event, number: number): void {
  switch (happening.kind) {
    case 'submit':
      cluster.submit(createJob(`j${number}`, happening))
      return
    case 'end':
      endOne(cluster, cluster.running, happening.pick)
      return
    case 'cancel':
      endOne(cluster, cluster.waiting, happening.pick)
      return
    case 'fail':
      cluster.fail(`u${happening.pick}`)
      return
    case 'recover':
      cluster.recover(`u${happening.pick}`)
  }
}

function endOne(cluster: FakeCluster, of: readonly { jobId: string }[], pick: number): void {
  const job = of[pick % Math.max(1, of.length)]
  if (job !== undefined) cluster.end(job.jobId)
}

function listNames(gangs: readonly RunningGang[]): string[] {
  return gangs.flatMap((gang) =>
    gang.blocks.flatMap((b) => b.acceleratorIndexes.map((index) => `${b.upstreamId}/${index}`)),
  )
}

for (const objective of objectives) {
  test(`${objective}: gangs are placed completely and once, on free accelerators`, (t) => {
    const events = fc.array(fc.oneof({ weight: 8, arbitrary: event }, failure), { maxLength: 60 })
    const property = fc.property(contracts, events, (agreed, happenings) => {
      const cluster = new FakeCluster(createPolicy(objective), agreed, createUpstreams(6))
      happenings.forEach((happening, number) => {
        apply(cluster, happening, number)
        cluster.step()
        const names = listNames(cluster.running)
        t.is(new Set(names).size, names.length)
        for (const gang of cluster.running) {
          t.is(listNames([gang]).length, gang.gang.accelerators)
          for (const { upstreamId } of gang.blocks) t.true(isUp(cluster, upstreamId))
        }
        const placed = cluster.decisions.filter((decision) => decision.kind !== 'preempt')
        t.is(new Set(placed.map((decision) => decision.jobId)).size, placed.length)
      })
    })
    fc.assert(property, { numRuns: 60 })
  })

  test(`${objective}: every guaranteed shape can be reclaimed after every round`, (t) => {
    const events = fc.array(event, { maxLength: 80 })
    const property = fc.property(contracts, events, (agreed, happenings) => {
      const policy = createPolicy(objective)
      const cluster = new FakeCluster(policy, agreed, createUpstreams(6))
      happenings.forEach((happening, number) => {
        apply(cluster, happening, number)
        cluster.step()
        t.deepEqual(checkPlan(cluster.view, policy.plan), [])
      })
    })
    fc.assert(property, { numRuns: 100 })
  })

  test(`${objective}: a guaranteed gang starts after its borrowers have had one step to stop`, (t) => {
    const events = fc.array(event, { maxLength: 60 })
    const property = fc.property(events, (happenings) => {
      const gang = { accelerators: 8, adjacency: 'upstream' as const }
      const agreed = [
        createGuaranteed('owner', [{ ...gang, count: 1 }]),
        ...['a', 'b', 'c'].map((workspace) => createGuaranteed(workspace, [])),
      ]
      const cluster = new FakeCluster(createPolicy(objective), agreed, createUpstreams(3))
      happenings.forEach((happening, number) => {
        apply(cluster, happening, number)
        cluster.step()
      })
      cluster.submit(createJob('claim', { workspace: 'owner', gang, stoppability: 'never' }))
      cluster.step()
      cluster.step()
      return cluster.running.some((running) => running.jobId === 'claim')
    })
    t.notThrows(() => {
      fc.assert(property, { numRuns: 100 })
    })
  })

  test(`${objective}: a large gang starts even if small jobs keep arriving`, (t) => {
    const mix = fc.array(
      fc.record({
        accelerators: fc.constantFrom(1, 2, 3),
        stoppability: fc.constantFrom('checkpoint' as const, 'repeat' as const, 'never' as const),
        steps: fc.integer({ min: 1, max: runStepsMax }),
      }),
      { minLength: 8, maxLength: 24 },
    )
    const property = fc.property(mix, (small) => {
      const agreed = ['a', 'b'].map((workspace) => createGuaranteed(workspace, []))
      const cluster = new FakeCluster(createPolicy(objective), agreed, createUpstreams(3))
      const ends = new Map<string, number>()
      let number = 0
      let hasStarted = false
      const flood = (step: number): void => {
        for (const { accelerators, stoppability, steps } of small) {
          if (cluster.waiting.length > small.length) break
          const gang = { accelerators, adjacency: 'upstream' as const }
          const jobId = `s${(number += 1)}`
          cluster.submit(createJob(jobId, { gang, stoppability }))
          ends.set(jobId, steps)
        }
        for (const { jobId, startedAtMs } of [...cluster.running]) {
          if (jobId === 'large') continue
          const ranMs = cluster.nowMs - (startedAtMs ?? 0)
          if (ranMs >= (ends.get(jobId) ?? 0) * 60_000) cluster.end(jobId)
        }
        cluster.step()
        hasStarted ||= cluster.running.some((gang) => gang.jobId === 'large')
        if (step === fillSteps) cluster.submit(createJob('large', { workspace: 'b', gang: large }))
      }
      for (let step = 0; step <= fillSteps + waitStepsMax; step += 1) flood(step)
      return hasStarted
    })
    t.notThrows(() => {
      fc.assert(property, { numRuns: 60 })
    })
  })
}

const large = { accelerators: 16, adjacency: 'rack' as const }
const runStepsMax = 20
const fillSteps = 20
/** Half an hour, by which unstoppable jobs have ended too, and a few steps for the victims to stop. */
const waitStepsMax = 30 + 4

function isUp(cluster: FakeCluster, upstreamId: string): boolean {
  const upstream = cluster.upstreams.find((one) => one.upstreamId === upstreamId)
  return upstream?.state === 'ready'
}
