/** The accelerators, processors and memory of one upstream, and who has a claim on each accelerator. */
import type { UpstreamView } from '@nettlespur/api.schemas'
import type { Demand } from './demand.js'
import type { RunningGang } from './runningGang.js'

/** Keeps shares such as a third of 1.2 cores from being rounded down by one. */
const tolerance = 1e-9

export class UpstreamRoom {
  readonly view: UpstreamView
  readonly holders: (RunningGang | undefined)[]
  /** Workspaces whose guaranteed shapes are mapped here. */
  readonly reservedFor: (string | undefined)[]
  /** Waiting jobs for which accelerators are kept from work that cannot be stopped. */
  readonly formingFor: (string | undefined)[]
  /** Waiting jobs that start here as soon as gangs being stopped are gone. */
  readonly promisedTo: (string | undefined)[]
  #freeCount: number
  #cpuCores: number
  #memoryBytes: number

  constructor(view: UpstreamView) {
    this.view = view
    const empty = (): undefined[] => new Array<undefined>(view.accelerators).fill(undefined)
    this.holders = empty()
    this.reservedFor = empty()
    this.formingFor = empty()
    this.promisedTo = empty()
    this.#freeCount = view.accelerators
    this.#cpuCores = view.cpuCores
    this.#memoryBytes = view.memoryBytes
  }

  get upstreamId(): string {
    return this.view.upstreamId
  }

  get size(): number {
    return this.holders.length
  }

  /** Accelerators that no gang holds. */
  get freeCount(): number {
    return this.#freeCount
  }

  get freeCpuCores(): number {
    return this.#cpuCores
  }

  get freeMemoryBytes(): number {
    return this.#memoryBytes
  }

  /** How many accelerators the free processors and memory suffice for, for members of this demand. */
  countAffordable(demand: Demand): number {
    return countAffordable(demand, this.#cpuCores, this.#memoryBytes)
  }

  hold(index: number, gang: RunningGang): void {
    if (index >= this.size) return
    if (this.holders[index] === undefined) this.#freeCount -= 1
    this.holders[index] = gang
  }

  use(cpuCores: number, memoryBytes: number): void {
    this.#cpuCores -= cpuCores
    this.#memoryBytes -= memoryBytes
  }
}

/** How many accelerators these processors and this memory suffice for, for members of this demand. */
export function countAffordable(demand: Demand, cpuCores: number, memoryBytes: number): number {
  const { accelerators } = demand.gang
  const byCpu = divide(cpuCores * accelerators, demand.cpuCores)
  const byMemory = divide(memoryBytes * accelerators, demand.memoryBytes)
  return Math.min(byCpu, byMemory)
}

function divide(available: number, asked: number): number {
  return asked === 0 ? Number.POSITIVE_INFINITY : Math.floor(available / asked + tolerance)
}
