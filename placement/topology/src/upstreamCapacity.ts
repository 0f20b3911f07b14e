/** The resources of one upstream, and the gang, workspace or job that holds or reserves each accelerator. */
import type { UpstreamView } from '@nettlespur/api.schemas'
import type { Demand } from './demand.js'
import type { RunningGang } from './runningGang.js'

/** Prevents a rounding error in a share, such as a third of 1.2 cores, from losing one accelerator. */
const tolerance = 1e-9

export class UpstreamCapacity {
  readonly view: UpstreamView
  readonly holders: (RunningGang | undefined)[]
  /** For each accelerator: the workspace that has a guaranteed shape mapped to it. */
  readonly reservedFor: (string | undefined)[]
  /** For each accelerator: the waiting job whose forming block it belongs to; see `FormingBlocks`. */
  readonly formingFor: (string | undefined)[]
  /** For each accelerator: the waiting job that starts on it once the preempted gangs have stopped. */
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

  /** Number of accelerators that no gang holds. */
  get freeCount(): number {
    return this.#freeCount
  }

  get freeCpuCores(): number {
    return this.#freeCpuCores
  }

  get freeMemoryBytes(): number {
    return this.#freeMemoryBytes
  }

  /** Number of members of this gang for which the free processors and memory are enough. */
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

/** Number of members of this gang for which these processors and this memory are enough; may be infinite. */
export function countByCpuAndMemory(demand: Demand, cpuCores: number, memoryBytes: number): number {
  const { accelerators } = demand.gang
  const byCpu = divide(cpuCores * accelerators, demand.cpuCores)
  const byMemory = divide(memoryBytes * accelerators, demand.memoryBytes)
  return Math.min(byCpu, byMemory)
}

function divide(available: number, asked: number): number {
  return asked === 0 ? Number.POSITIVE_INFINITY : Math.floor(available / asked + tolerance)
}
