/** What one round of decisions costs, today and at the size to design for, without and with work to place. */
import { performance } from 'node:perf_hooks'
import { createPolicy, type PlacementView, type WaitingJob } from '@nettlespur/placement.engine'
import type { RunningGang, Stoppability } from '@nettlespur/placement.topology'
import { consorzio, createContracts, createUpstreams, type Deployment } from './deployment.js'
import type { Row } from './row.js'

interface Size {
  readonly name: string
  readonly upstreams: number
  readonly accelerators: number
  readonly running: number
  readonly waiting: number
  readonly workspaces: number
}

const sizes: readonly Size[] = [
  {
    name: '30-upstreams',
    upstreams: 30,
    accelerators: 8,
    running: 200,
    waiting: 40,
    workspaces: 4,
  },
  // 14 accelerators each stand in for tasks that share accelerators, so that 9,400 tasks run.
  {
    name: '690-upstreams',
    upstreams: 690,
    accelerators: 14,
    running: 9400,
    waiting: 400,
    workspaces: 85,
  },
]
const warmUpRounds = 5
const rounds = 30

export function measureDecisionCost(): Row[] {
  return sizes.flatMap((size) => {
    const view = createView(size)
    const name = `placement.decision.${size.name}`
    return [
      ...measureRounds(`${name}.waiting`, view),
      ...measureRounds(`${name}.idle`, { ...view, waiting: [] }),
    ]
  })
}

/** Equal rounds of one policy, as a leader runs them tick after tick. */
function measureRounds(name: string, view: PlacementView): Row[] {
  const policy = createPolicy('completionTime')
  const durationsMs: number[] = []
  for (let round = 0; round < warmUpRounds + rounds; round += 1) {
    const startMs = performance.now()
    policy.decide(view)
    if (round >= warmUpRounds) durationsMs.push(performance.now() - startMs)
  }
  durationsMs.sort((left, right) => left - right)
  const median = durationsMs[Math.floor(rounds / 2)] ?? 0
  const most = durationsMs[rounds - 1] ?? 0
  return [
    { name: `${name}.median`, value: median, unit: 'ms' },
    { name: `${name}.max`, value: most, unit: 'ms' },
  ]
}

function createView(size: Size): PlacementView {
  const deployment = scaleUp(size)
  const upstreams = createUpstreams(deployment).map((upstream) => {
    return { ...upstream, accelerators: size.accelerators }
  })
  const running = Array.from({ length: size.running }, (_, index) => {
    const upstream = upstreams[index % size.upstreams]
    return createRunning(size, index, upstream?.upstreamId ?? '')
  })
  const waiting = Array.from({ length: size.waiting }, (_, index) => createWaiting(size, index))
  const contracts = createContracts(deployment)
  return { nowMs: 1e7, upstreams, running, waiting, contracts }
}

function scaleUp({ upstreams, workspaces }: Size): Deployment {
  const mix = Array.from({ length: workspaces }, (_, index) => {
    const accelerators = index % 2 === 0 ? 8 : 4
    const guarantees = [{ accelerators, adjacency: 'upstream' as const, count: 1 }]
    return { workspace: `w${index}`, jobWeight: 1, guarantees }
  })
  return { ...consorzio, upstreamCount: upstreams, workspaces: mix }
}

const shapes = [1, 2, 4, 8, 16, 24] as const
const stoppabilities: readonly Stoppability[] = ['checkpoint', 'repeat', 'checkpoint', 'never']

function createRunning(size: Size, index: number, upstreamId: string): RunningGang {
  const job = createWaiting(size, index)
  return {
    ...job,
    jobId: `r${index}`,
    stoppability: index % 7 === 0 ? 'never' : 'checkpoint',
    gang: { accelerators: 1, adjacency: 'upstream' },
    cpuCores: 1,
    memoryBytes: 1,
    blocks: [{ upstreamId, acceleratorIndexes: [Math.floor(index / size.upstreams)] }],
    isStopping: false,
    startedAtMs: index,
    checkpointedAtMs: undefined,
    attempts: 1,
  }
}

function createWaiting({ workspaces }: Size, index: number): WaitingJob {
  const accelerators = shapes[index % shapes.length] ?? 1
  return {
    jobId: `j${index}`,
    workspace: `w${index % workspaces}`,
    urgency: 'normal',
    stoppability: stoppabilities[index % stoppabilities.length] ?? 'never',
    gang: { accelerators, adjacency: accelerators > 8 ? 'rack' : 'upstream' },
    cpuCores: accelerators,
    memoryBytes: accelerators,
    submittedAtMs: 1e7 - 1000 * index,
    queuedAtMs: 1e7 - 1000 * index,
    expectedRunTimeMs: 3_600_000,
  }
}
