import type { Contract } from '@nettlespur/api.schemas'
import { createContract, createUpstreamView } from '@nettlespur/control.fakes'
import { ClusterMap, type RunningGang, type Stoppability } from '@nettlespur/placement.topology'
import test from 'ava'
import fc from 'fast-check'
import { checkPlan, findInfeasibility, ReservationPlanner } from '../src/index.js'

const upstreams = [0, 1, 2].map((index) => createUpstreamView(`u${index}`))

function createGuaranteed(workspace: string, guarantees: Contract['guarantees']): Contract {
  return { ...createContract(workspace), guarantees }
}

function createRunningGang(
  upstreamId: string,
  index: number,
  stoppability: Stoppability,
  cpuCores = 0,
) {
  const gang: RunningGang = {
    jobId: `${upstreamId}-${index}`,
    workspace: 'borrower',
    urgency: 'normal',
    stoppability,
    gang: { accelerators: 1, adjacency: 'upstream' },
    cpuCores,
    memoryBytes: 0,
    blocks: [{ upstreamId, acceleratorIndexes: [index] }],
    isStopping: false,
    startedAtMs: 0,
    checkpointedAtMs: undefined,
    expectedRunTimeMs: 0,
    attempts: 1,
  }
  return gang
}

const whole = { accelerators: 8, adjacency: 'upstream' as const, count: 1 }

test('the independent checker finds no fault in a plan but the shapes that the planner reports missing', (t) => {
  const held = fc.uniqueArray(
    fc.record({
      at: fc.nat(23),
      stoppability: fc.constantFrom('checkpoint' as const, 'repeat' as const, 'never' as const),
      cpuCores: fc.constantFrom(0, 4, 9),
    }),
    { selector: ({ at }) => at, maxLength: 12 },
  )
  const wanted = fc.array(
    fc.record({
      accelerators: fc.constantFrom(1, 2, 3, 4, 8),
      adjacency: fc.constantFrom('upstream' as const, 'rack' as const, 'none' as const),
      count: fc.integer({ min: 1, max: 2 }),
    }),
    { maxLength: 3 },
  )
  const property = fc.property(held, wanted, (gangs, guarantees) => {
    const running = gangs.map(({ at, stoppability, cpuCores }) =>
      createRunningGang(`u${Math.floor(at / 8)}`, at % 8, stoppability, cpuCores),
    )
    const contracts = [createGuaranteed('a', guarantees)]
    const plan = new ReservationPlanner().update(new ClusterMap(upstreams, running), contracts)
    const faults = checkPlan({ contracts, upstreams, running }, plan)
    t.deepEqual(
      faults.filter((fault) => fault.kind !== 'missing'),
      [],
    )
    t.is(faults.length > 0, plan.missing.length > 0)
  })
  fc.assert(property)
})

test('a reservation moves off an upstream that is gone, and is missing when no upstream is left', (t) => {
  const planner = new ReservationPlanner()
  const contracts = [createGuaranteed('a', [whole])]
  const [first] = planner.update(new ClusterMap(upstreams, []), contracts).reservations
  const left = upstreams.filter(({ upstreamId }) => upstreamId !== first?.blocks[0]?.upstreamId)
  const [second] = planner.update(new ClusterMap(left, []), contracts).reservations
  t.not(second?.blocks[0]?.upstreamId, first?.blocks[0]?.upstreamId)
  const plan = planner.update(new ClusterMap([], []), contracts)
  t.like(plan, { reservations: [], missing: [{ workspace: 'a' }] })
  t.is(planner.update(new ClusterMap(left, []), contracts).missing.length, 0)
})

test('the checker reports overlaps, incomplete shapes and unstoppable holders', (t) => {
  const contracts = [createGuaranteed('a', [whole]), createGuaranteed('b', [whole])]
  const kinds = (running: RunningGang[], acceleratorIndexes: number[]): string[] => {
    const reservations = contracts.map(({ workspace }) => ({
      reservationId: workspace,
      workspace,
      shape: { accelerators: 8, adjacency: 'upstream' as const },
      blocks: [{ upstreamId: 'u0', acceleratorIndexes }],
    }))
    const faults = checkPlan({ contracts, upstreams, running }, { reservations, missing: [] })
    return [...new Set(faults.map((fault) => fault.kind))]
  }
  t.true(kinds([], [0, 1, 2, 3, 4, 5, 6, 7]).includes('overlap'))
  t.true(kinds([], [0, 1]).includes('not-adjacent'))
  t.true(
    kinds([createRunningGang('u0', 0, 'never')], [0, 1, 2, 3, 4, 5, 6, 7]).includes(
      'not-reclaimable',
    ),
  )
  t.false(
    kinds([createRunningGang('u0', 0, 'repeat')], [0, 1, 2, 3, 4, 5, 6, 7]).includes(
      'not-reclaimable',
    ),
  )
})

test('a contract that does not fit beside the others is infeasible, and the result says what would fit', (t) => {
  const contracts = [createGuaranteed('a', [{ ...whole, count: 2 }])]
  const cluster = { contracts, upstreams, running: [] }
  t.is(findInfeasibility(cluster, createGuaranteed('b', [whole])), undefined)
  const twice = findInfeasibility(cluster, createGuaranteed('b', [{ ...whole, count: 2 }]))
  t.is(twice?.wouldFit, '1 x 8 (upstream)')
  const busy = { ...cluster, running: [createRunningGang('u2', 7, 'never')] }
  t.is(findInfeasibility(busy, createGuaranteed('b', [whole]))?.wouldFit, '1 x 7 (upstream)')
})

test('a change that guarantees no more than before is feasible even while shapes are missing', (t) => {
  const contracts = [createGuaranteed('a', [{ ...whole, count: 2 }])]
  const cluster = { contracts, upstreams: upstreams.slice(0, 1), running: [] }
  t.is(findInfeasibility(cluster, createGuaranteed('a', [whole])), undefined)
  t.not(findInfeasibility(cluster, createGuaranteed('b', [whole])), undefined)
})
