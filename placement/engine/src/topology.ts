/** Free accelerators, processors and memory of each upstream; taking a block uses them up. */
import type { UpstreamView } from '@nettlespur/api.schemas'
import type { Block, Demand, HeldBlock } from './placementView.js'

export class FreeUpstream {
  readonly view: UpstreamView
  readonly #free: boolean[]
  #cpuCores: number
  #memoryBytes: number

  constructor(view: UpstreamView) {
    this.view = view
    this.#free = Array.from({ length: view.accelerators }, () => true)
    this.#cpuCores = view.cpuCores
    this.#memoryBytes = view.memoryBytes
  }

  get upstreamId(): string {
    return this.view.upstreamId
  }

  get size(): number {
    return this.#free.length
  }

  get freeCount(): number {
    return this.#free.filter((free) => free).length
  }

  get isWhollyFree(): boolean {
    return this.freeCount === this.size
  }

  get freeIndexes(): number[] {
    return [...this.#free.keys()].filter((index) => this.#free[index] === true)
  }

  isFree(from: number, count: number): boolean {
    return (
      from >= 0 && from + count <= this.size && this.#free.slice(from, from + count).every(Boolean)
    )
  }

  /** How many accelerators its processors and memory suffice for, for members of this demand. */
  countAffordable(demand: Demand): number {
    const { accelerators } = demand.gang
    const byCpu = divide(this.#cpuCores * accelerators, demand.cpuCores)
    const byMemory = divide(this.#memoryBytes * accelerators, demand.memoryBytes)
    return Math.min(byCpu, byMemory)
  }

  take(block: Block, cpuCores: number, memoryBytes: number): void {
    for (const index of block.acceleratorIndexes) this.#free[index] = false
    this.#cpuCores -= cpuCores
    this.#memoryBytes -= memoryBytes
  }
}

export class Topology {
  readonly upstreams: readonly FreeUpstream[]
  readonly #byId: ReadonlyMap<string, FreeUpstream>

  /** Only upstreams that are ready take new work. */
  constructor(upstreams: readonly UpstreamView[], held: readonly HeldBlock[]) {
    this.upstreams = upstreams
      .filter((view) => view.state === 'ready')
      .sort((left, right) => (left.upstreamId < right.upstreamId ? -1 : 1))
      .map((view) => new FreeUpstream(view))
    this.#byId = new Map(this.upstreams.map((upstream) => [upstream.upstreamId, upstream]))
    for (const block of held) {
      this.#byId.get(block.upstreamId)?.take(block, block.cpuCores, block.memoryBytes)
    }
  }

  get freeCount(): number {
    return this.upstreams.reduce((sum, upstream) => sum + upstream.freeCount, 0)
  }

  /** Upstreams by data centre and rack. */
  listRacks(): FreeUpstream[][] {
    const racks = new Map<string, FreeUpstream[]>()
    for (const upstream of this.upstreams) {
      const name = JSON.stringify([upstream.view.dataCentre, upstream.view.rack])
      racks.set(name, [...(racks.get(name) ?? []), upstream])
    }
    return [...racks.values()]
  }

  takeAll(blocks: readonly Block[], demand: Demand): void {
    for (const block of blocks) {
      const share = block.acceleratorIndexes.length / demand.gang.accelerators
      this.#byId
        .get(block.upstreamId)
        ?.take(block, demand.cpuCores * share, demand.memoryBytes * share)
    }
  }
}

function divide(available: number, asked: number): number {
  return asked === 0 ? Number.POSITIVE_INFINITY : Math.floor(available / asked + tolerance)
}

/** Keeps shares such as a third of 1.2 cores from being rounded down by one. */
const tolerance = 1e-9
