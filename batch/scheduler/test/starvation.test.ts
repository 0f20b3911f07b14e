/**
 * Guards against jobs that wait for seconds though their pool has ample capacity, because a preference, a reservation or
 * a past failure keeps them from it.
 */
import type { StepSpec } from '@nettlespur/batch.model'
import { createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import fc from 'fast-check'
import assert from 'node:assert/strict'
import { DelayWatch, Fleet } from '../__utils__/index.js'

const racks = ['r1', 'r2', 'r3', 'r4']
const submission = fc.record({
  atMs: fc.nat(6000),
  priority: fc.constantFrom(0, 1),
  runMs: fc.integer({ min: 100, max: 12_000 }),
  step: fc.record({
    taskCount: fc.integer({ min: 1, max: 5 }),
    accelerators: fc.constantFrom(1, 2, 4, 8),
    expectedRunTimeMs: fc.integer({ min: 100, max: 12_000 }),
    isGang: fc.boolean(),
    prefersOneRack: fc.boolean(),
    dataRack: fc.option(fc.constantFrom(...racks), { nil: undefined, freq: 3 }),
  }),
})

type Submission = typeof submission extends fc.Arbitrary<infer T> ? T : never

function toStep({ accelerators, dataRack, ...step }: Submission['step']): Partial<StepSpec> {
  const needs = { cpuMillicores: 1000, memoryMiB: 1000, accelerators }
  return { ...step, needs, ...(dataRack === undefined ? {} : { dataRack }) }
}

test('no job waits for 3 s while half of the accelerators are idle and there is room for it twice over', (t) => {
  const fleetRacks = fc.array(fc.constantFrom(...racks), { minLength: 3, maxLength: 12 })
  fc.assert(
    fc.property(fleetRacks, fc.array(submission, { maxLength: 12 }), (upstreamRacks, jobs) => {
      const fleet = new Fleet(...upstreamRacks)
      const watch = new DelayWatch()
      const due = jobs.map((job, at) => ({ ...job, jobId: `job${at}` }))
      fleet.playUntil(20_000, () => {
        watch.note(fleet)
        for (const { jobId, atMs, priority, runMs, step } of due) {
          if (atMs > fleet.nowMs || fleet.state.jobs.has(jobId)) continue
          fleet.runTimesMs.set(jobId, runMs)
          fleet.submit(createJob(jobId, toStep(step)), priority)
        }
      })
      assert.deepEqual([...watch.delayed], [])
    }),
    { numRuns: 300, includeErrorInReport: true },
  )
  t.pass()
})
