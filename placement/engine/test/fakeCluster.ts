/** A minimal fake cluster that carries out decisions: gangs start at once, and stop one step later. */
import type { Contract, UpstreamView } from '@nettlespur/api.schemas'
import { createContract, createUpstreamView } from '@nettlespur/control.fakes'
import type { RunningGang } from '@nettlespur/placement.topology'
import {
  createPlacedGang,
  type PlacementDecision,
  type PlacementPolicy,
  type PlacementView,
  type WaitingJob,
} from '../src/index.js'

export const stepMs = 60_000

export function createJob(jobId: string, fields: Partial<WaitingJob> = {}): WaitingJob {
  return {
    jobId,
    workspace: 'a',
    gang: { accelerators: 1, adjacency: 'upstream' },
    cpuCores: 0,
    memoryBytes: 0,
    urgency: 'normal',
    stoppability: 'repeat',
    submittedAtMs: 0,
    queuedAtMs: 0,
    expectedRunTimeMs: stepMs,
    ...fields,
  }
}

export function createGuaranteed(workspace: string, guarantees: Contract['guarantees']): Contract {
  return { ...createContract(workspace), guarantees }
}

/** Creates upstreams of 8 accelerators each, three to a rack. */
export function createUpstreams(count: number): UpstreamView[] {
  return Array.from({ length: count }, (_, index) =>
    createUpstreamView(`u${index}`, { rack: `r${Math.floor(index / 3)}` }),
  )
}

export class FakeCluster {
  readonly contracts: readonly Contract[]
  readonly #policy: PlacementPolicy
  upstreams: UpstreamView[]
  nowMs = 0
  waiting: WaitingJob[] = []
  running: RunningGang[] = []
  decisions: PlacementDecision[] = []
  readonly #jobs = new Map<string, WaitingJob>()

  constructor(policy: PlacementPolicy, contracts: readonly Contract[], upstreams: UpstreamView[]) {
    this.#policy = policy
    this.contracts = contracts
    this.upstreams = upstreams
  }

  get view(): PlacementView {
    const { nowMs, upstreams, running, waiting, contracts } = this
    return { nowMs, upstreams, running, waiting, contracts }
  }

  submit(job: WaitingJob): void {
    const queued = { ...job, submittedAtMs: this.nowMs, queuedAtMs: this.nowMs }
    this.#jobs.set(job.jobId, queued)
    this.waiting.push(queued)
  }

  /** Ends a running gang, or removes a waiting job. */
  end(jobId: string): void {
    this.running = this.running.filter((gang) => gang.jobId !== jobId)
    this.waiting = this.waiting.filter((job) => job.jobId !== jobId)
  }

  fail(upstreamId: string): void {
    this.upstreams = this.upstreams.map((upstream) =>
      upstream.upstreamId === upstreamId ? { ...upstream, state: 'gone' } : upstream,
    )
    const hit = this.running.filter((gang) =>
      gang.blocks.some((block) => block.upstreamId === upstreamId),
    )
    for (const gang of hit) this.end(gang.jobId)
  }

  recover(upstreamId: string): void {
    this.upstreams = this.upstreams.map((upstream) =>
      upstream.upstreamId === upstreamId ? { ...upstream, state: 'ready' } : upstream,
    )
  }

  /** Queues the gangs that were stopping again, then runs one round of decisions and carries it out. */
  step(): void {
    this.nowMs += stepMs
    for (const gang of this.running.filter((one) => one.isStopping)) this.#requeue(gang.jobId)
    this.decisions = this.#policy.decide(this.view)
    for (const decision of this.decisions) this.#carryOut(decision)
  }

  #requeue(jobId: string): void {
    this.end(jobId)
    const job = this.#jobs.get(jobId)
    if (job !== undefined) this.waiting.push({ ...job, queuedAtMs: this.nowMs })
  }

  #carryOut(decision: PlacementDecision): void {
    const { jobId } = decision
    const job = this.waiting.find((one) => one.jobId === jobId)
    if (decision.kind === 'place' && job !== undefined) {
      this.end(jobId)
      this.running.push({ ...createPlacedGang(job, decision.blocks), startedAtMs: this.nowMs })
    }
    if (decision.kind !== 'preempt') return
    this.running = this.running.map((gang) =>
      gang.jobId === jobId ? { ...gang, isStopping: true } : gang,
    )
  }
}
