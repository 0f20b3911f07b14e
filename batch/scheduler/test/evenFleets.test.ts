/**
 * Guards against placement by speed and by stability changing decisions of deployments that do not call for it: those whose
 * upstreams are about equally fast, few of which are slow, or whose speeds are not known.
 */
import { certainSpeed, type SpeedDistribution } from '@nettlespur/batch.speeds'
import test from 'ava'
import fc from 'fast-check'
import assert from 'node:assert/strict'
import { arbitraryJobs, createRandomView } from '../__utils__/index.js'
import { planRound, type SchedulerView } from '../src/index.js'

const arbitraryView = fc
  .record({
    rackCount: fc.integer({ min: 1, max: 6 }),
    jobs: arbitraryJobs,
    runningCount: fc.integer({ min: 0, max: 12 }),
  })
  .map(createRandomView)

/** Returns what callers and other runs get to feel of a round. */
function decide(view: SchedulerView) {
  const { placements, preemptions, starving, ...others } = planRound(view)
  const starvingUnits = starving.map(({ jobId, step, freeShare, explain }) => {
    return { jobId, step, freeShare, reason: explain() }
  })
  return { placements, preemptions, starvingUnits, ...others }
}

function withSpeeds(
  view: SchedulerView,
  speedOf: (at: number, count: number) => SpeedDistribution,
): SchedulerView {
  const { upstreams } = view
  const count = upstreams.length
  return {
    ...view,
    upstreams: upstreams.map((upstream, at) => ({ ...upstream, speed: speedOf(at, count) })),
  }
}

test('decisions do not depend on the speeds where none of the upstreams is too slow for the most urgent queue', (t) => {
  fc.assert(
    fc.property(arbitraryView, (view) => {
      // The stretch of the queues is 2.
      const fast = withSpeeds(view, (at) => certainSpeed([0.6, 1, 1.3][at % 3] ?? 1))
      assert.deepEqual(decide(fast), decide(view))
    }),
    { numRuns: 300 },
  )
  t.pass()
})

test('decisions do not depend on the speeds where less than a tenth of the upstreams are slow', (t) => {
  fc.assert(
    fc.property(arbitraryView, (view) => {
      const isSlow = (at: number, count: number): boolean => at < Math.ceil(count / 10) - 1
      const few = withSpeeds(view, (at, count) => certainSpeed(isSlow(at, count) ? 0.2 : 1))
      assert.deepEqual(decide(few), decide(view))
    }),
    { numRuns: 300 },
  )
  t.pass()
})

test('decisions do not depend on speeds that are not known, however slow the upstreams may be', (t) => {
  fc.assert(
    fc.property(arbitraryView, (view) => {
      const unknown = { atLeast: () => 0, mean: 0.2, isKnown: false }
      assert.deepEqual(decide(withSpeeds(view, () => unknown)), decide(view))
    }),
    { numRuns: 300 },
  )
  t.pass()
})

test('decisions do not change if all upstreams are unstable alike', (t) => {
  fc.assert(
    fc.property(arbitraryView, (view) => {
      const upstreams = view.upstreams.map((upstream) => ({ ...upstream, isUnstable: true }))
      assert.deepEqual(decide({ ...view, upstreams }), decide(view))
    }),
    { numRuns: 300 },
  )
  t.pass()
})

test('on any fleet no task is placed twice, no upstream is overfull, and the same input gives the same result', (t) => {
  const speeds = [0.4, 0.6, 1, 1.6]
  const drawn = fc.array(fc.constantFrom(...speeds), { minLength: 18, maxLength: 18 })
  fc.assert(
    fc.property(arbitraryView, drawn, fc.boolean(), (view, known, areUnstable) => {
      const graded = withSpeeds(view, (at) => certainSpeed(known[at] ?? 1))
      const upstreams = graded.upstreams.map((upstream, at) => ({
        ...upstream,
        isUnstable: areUnstable && at % 4 === 0,
      }))
      const decision = decide({ ...graded, upstreams })
      assert.deepEqual(decide({ ...graded, upstreams }), decision)
      const keys = decision.placements.map(({ jobId, index }) => `${jobId}/${index}`)
      assert.equal(new Set(keys).size, keys.length)
      for (const { upstreamId, free } of upstreams) {
        const placed = decision.placements.filter((run) => run.upstreamId === upstreamId)
        const used = placed.reduce((sum, { jobId }) => {
          const job = view.jobs.find(({ request }) => request.jobId === jobId)
          return sum + (job?.request.steps[0]?.needs.accelerators ?? 0)
        }, 0)
        assert.ok(used <= free.accelerators)
      }
    }),
    { numRuns: 300 },
  )
  t.pass()
})
