/** The accelerators, processors and memory of one upstream, and who has a claim on each accelerator. */
import type { UpstreamView } from '@nettlespur/api.schemas'
import type { Demand } from './demand.js'
import type { RunningGang } from './runningGang.js'

/** Keeps shares such as a third of 1.2 cores from being rounded down by one. */
const tolerance = 1e-9

export class UpstreamCapacity {
  readonly view: UpstreamView
  readonly holders: (RunningGang | undefined)[]
  /** Workspaces whose guaranteed shapes are mapped here. */
  readonly reservedFor: (string | undefined)[]
  /** Waiting jobs for which accelerators are kept from work that cannot be stopped. */
  readonly formingFor: (string | undefined)[]
  /** Waiting jobs that start here as soon as gangs being stopped are gone. */
  readonly promisedTo: (string | undefined)[]
  #freeCount: number
  #freeCpuCores: number
  #freeMemoryBytes: number

  constructor(view: UpstreamView) {
    this.view = view
    const empty = (): undefined[] => new Array<undefined>(view.accelerators).fill(undefined)
    this.holders = empty()
    this.reservedFor = empty()
    this.formingFor = empty()
    this.promisedTo = empty()
    this.#freeCount = view.accelerators
    this.#freeCpuCores = view.cpuCores
    this.#freeMemoryBytes = view.memoryBytes
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
    return this.#freeCpuCores
  }

  get freeMemoryBytes(): number {
    return this.#freeMemoryBytes
  }

  /** How many accelerators the free processors and memory suffice for, for members of this demand. */
  countByCpuAndMemory(demand: Demand): number {
    return countByCpuAndMemory(demand, this.#freeCpuCores, this.#freeMemoryBytes)
  }

  hold(index: number, gang: RunningGang): void {
    if (index >= this.size) return
    if (this.holders[index] === undefined) this.#freeCount -= 1
    this.holders[index] = gang
  }

  deductResources(cpuCores: number, memoryBytes: number): void {
    this.#freeCpuCores -= cpuCores
    this.#freeMemoryBytes -= memoryBytes
  }
}

/** How many accelerators these processors and this memory suffice for, for members of this demand. */
export function countByCpuAndMemory(demand: Demand, cpuCores: number, memoryBytes: number): number {
  const { accelerators } = demand.gang
  const byCpu = divide(cpuCores * accelerators, demand.cpuCores)
  const byMemory = divide(memoryBytes * accelerators, demand.memoryBytes)
  return Math.min(byCpu, byMemory)
}

function divide(available: number, asked: number): number {
  return asked === 0 ? Number.POSITIVE_INFINITY : Math.floor(available / asked + tolerance)
}
