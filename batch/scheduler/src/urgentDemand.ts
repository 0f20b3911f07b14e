/**
 * Learns how much capacity urgent work claims within the time that it takes to stop other runs. It answers loads in which
 * stops take long compared with the slack of urgent work: what it claims meanwhile has to be free already. The demand is
 * kept in the leader's memory; a new leader knows none until it has seen some windows.
 */
import type { Resources } from '@nettlespur/batch.model'
import type { JobRecord } from '@nettlespur/batch.state'
import type { ExpectedClaims } from './expectedClaims.js'
import { urgentPriority } from './urgentPriority.js'

/** Number of past windows from which the demand is estimated. */
const windowCountMax = 32
/** A high quantile of fewer windows would depend on a single one. */
const windowCountMin = 8
const claimQuantile = 0.9

interface Claim {
  readonly needs: Resources
  readonly accelerators: number
}

interface PoolDemand {
  /** Claims by window, the oldest first; the last one is not over yet. */
  readonly windows: Claim[][]
  /** From the windows that are over. */
  expected: ExpectedClaims | undefined
}

export class UrgentDemand {
  readonly #windowMs: number
  readonly #byPool = new Map<string, PoolDemand>()
  #windowStartMs: number | undefined
  #lastJobNumber: number | undefined

  constructor(windowMs: number) {
    this.#windowMs = windowMs
  }

  /** Call it once before each round, with the unsettled jobs. */
  noteJobs(jobs: Iterable<JobRecord>, nowMs: number): void {
    this.#closeWindows(nowMs)
    const knownNumber = this.#lastJobNumber
    let lastNumber = knownNumber ?? -1
    for (const job of jobs) {
      lastNumber = Math.max(lastNumber, job.number)
      // Jobs that a new leader finds were not all accepted just now.
      const isNew = knownNumber !== undefined && job.number > knownNumber
      if (isNew && job.queue.priority === urgentPriority) this.#note(job)
    }
    this.#lastJobNumber = lastNumber
  }

  get pools(): string[] {
    return [...this.#byPool.keys()]
  }

  /** Returns undefined while too little is known of the pool, or if urgent work claims nothing there. */
  expect(pool: string): ExpectedClaims | undefined {
    return this.#byPool.get(pool)?.expected
  }

  #note({ queue, request }: JobRecord): void {
    const demand = this.#byPool.get(queue.pool) ?? { windows: [[]], expected: undefined }
    this.#byPool.set(queue.pool, demand)
    // Later steps are claimed when earlier ones have ended, which is known in advance.
    const [step] = request.steps
    if (step === undefined || step.needs.accelerators === 0) return
    const accelerators = step.taskCount * step.needs.accelerators
    demand.windows.at(-1)?.push({ needs: step.needs, accelerators })
  }

  #closeWindows(nowMs: number): void {
    const startMs = (this.#windowStartMs ??= nowMs)
    const passed = Math.floor((nowMs - startMs) / this.#windowMs)
    if (passed <= 0) return
    this.#windowStartMs = startMs + passed * this.#windowMs
    const opened = Math.min(passed, windowCountMax)
    for (const [pool, demand] of this.#byPool) {
      const { windows } = demand
      for (let count = 0; count < opened; count++) windows.push([])
      windows.splice(0, Math.max(0, windows.length - windowCountMax - 1))
      demand.expected = computeExpected(windows.slice(0, -1))
      // A pool without urgent work for that long is forgotten.
      if (windows.every((claims) => claims.length === 0)) this.#byPool.delete(pool)
    }
  }
}

function computeExpected(windows: readonly Claim[][]): ExpectedClaims | undefined {
  if (windows.length < windowCountMin) return undefined
  const sums = windows.map(sumAccelerators).sort((left, right) => left - right)
  const accelerators = sums[Math.floor(sums.length * claimQuantile)] ?? 0
  const taskNeeds = findUsualNeeds(windows.flat())
  if (taskNeeds === undefined || accelerators === 0) return undefined
  return { taskNeeds, taskCount: Math.ceil(accelerators / taskNeeds.accelerators) }
}

function sumAccelerators(claims: readonly Claim[]): number {
  return claims.reduce((sum, { accelerators }) => sum + accelerators, 0)
}

function findUsualNeeds(claims: readonly Claim[]): Resources | undefined {
  const bySize = [...claims].sort(
    (left, right) => left.needs.accelerators - right.needs.accelerators,
  )
  let left = sumAccelerators(claims) / 2
  return bySize.find(({ accelerators }) => (left -= accelerators) <= 0)?.needs
}
