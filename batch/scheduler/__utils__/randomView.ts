/** Random inputs of a scheduling round: upstreams in racks, jobs of all kinds, and runs in progress. */
import type { StepSpec } from '@nettlespur/batch.model'
import { createConfig, createJob, createUpstream } from '@nettlespur/batch.samples'
import { unknownSpeed } from '@nettlespur/batch.speeds'
import { BatchState } from '@nettlespur/batch.state'
import fc from 'fast-check'
import { addResources, planRound, type SchedulerView } from '../src/index.js'

const upstreamsPerRack = 3

export interface RandomJob {
  readonly priority: number
  readonly waitedMs: number
  readonly step: Partial<StepSpec>
}

const arbitraryStep: fc.Arbitrary<Partial<StepSpec>> = fc.record({
  taskCount: fc.integer({ min: 1, max: 8 }),
  needs: fc.constantFrom(1, 2, 4, 8).map((accelerators) => {
    return { cpuMillicores: 3000, memoryMiB: 4000, accelerators }
  }),
  expectedRunTimeMs: fc.integer({ min: 100, max: 9000 }),
  isGang: fc.boolean(),
  prefersOneRack: fc.boolean(),
})

export const arbitraryJobs: fc.Arbitrary<RandomJob[]> = fc.array(
  fc.record({
    priority: fc.constantFrom(0, 1),
    waitedMs: fc.integer({ min: 0, max: 40_000 }),
    step: arbitraryStep,
  }),
  { minLength: 1, maxLength: 30 },
)

export interface RandomViewOptions {
  rackCount: number
  jobs: readonly RandomJob[]
  /** Jobs that run already: the first ones of `jobs`, as far as they fit. */
  runningCount: number
}

/** All upstreams of the view are of unknown speed and stable. */
export function createRandomView({
  rackCount,
  jobs,
  runningCount,
}: RandomViewOptions): SchedulerView {
  const state = new BatchState()
  const nowMs = 100_000
  const acceptedAtMs = new Map<string, number>()
  state.apply({ type: 'apply-config', config: createConfig(1) })
  for (let at = 0; at < rackCount * upstreamsPerRack; at++) {
    const description = createUpstream(`u${at}`, `r${Math.floor(at / upstreamsPerRack)}`)
    state.apply({ type: 'note-upstream', description })
  }
  const submit = ({ priority, waitedMs, step }: RandomJob, at: number): void => {
    const request = createJob(`j${at}`, step)
    const queueName = `queue${priority}`
    state.apply({ type: 'submit-job', request, workspace: 'w1', queueName })
    acceptedAtMs.set(request.jobId, nowMs - waitedMs)
  }
  jobs.slice(0, runningCount).forEach(submit)
  const empty = createView(state, acceptedAtMs, nowMs)
  state.apply({ type: 'place-tasks', placements: planRound(empty).placements })
  jobs.slice(runningCount).forEach((job, at) => {
    submit(job, runningCount + at)
  })
  return createView(state, acceptedAtMs, nowMs)
}

function createView(
  state: BatchState,
  acceptedAtMs: ReadonlyMap<string, number>,
  nowMs: number,
): SchedulerView {
  const needsOf = (jobId: string, step: number) => state.jobs.get(jobId)?.request.steps[step]?.needs
  const runs = [...state.upstreams.keys()].flatMap((id) =>
    [...state.placements.getByUpstream(id).values()].flatMap((placement, at) => {
      const needs = needsOf(placement.jobId, placement.step)
      const expectedEndMs = nowMs + (at + 1) * 700
      if (needs === undefined) return []
      return [{ placement, needs, expectedEndMs, stopCostCoreSeconds: at + 1, isStopping: false }]
    }),
  )
  const upstreams = [...state.upstreams.values()].map(({ description }) => {
    const own = runs.filter(({ placement }) => placement.upstreamId === description.upstreamId)
    const free = own.reduce(
      (left, { needs }) => addResources(left, needs, -1),
      description.capacity,
    )
    return {
      ...description,
      availability: 'usable' as const,
      free,
      freeAfterStops: free,
      isCold: false,
      speed: unknownSpeed,
      isUnstable: false,
      isSuitableForTrial: true,
    }
  })
  return {
    nowMs,
    queues: state.config?.queues ?? [],
    jobs: [...state.unsettled.values()],
    acceptedAtMs,
    upstreams,
    evacuated: [],
    runs,
    isProven: () => true,
    isPaused: () => false,
    starvedMs: () => 0,
    guarantees: new Map([['w1', 16]]),
  }
}
