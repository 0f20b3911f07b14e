/**
 * Weighted dominant resource fairness (DRF) over borrowed resources: a workspace's dominant share is the
 * largest of its shares of accelerators, processors and memory, divided by its weight.
 */
import type { Contract } from '@nettlespur/api.schemas'
import type { ClusterMap, Demand } from '@nettlespur/placement.topology'

interface Amounts {
  accelerators: number
  cpuCores: number
  memoryBytes: number
}

export class DominantShares {
  readonly #weights: ReadonlyMap<string, number>
  readonly #totals: Amounts
  readonly #borrowed = new Map<string, Amounts>()

  constructor(map: ClusterMap, contracts: readonly Contract[]) {
    this.#weights = new Map(contracts.map(({ workspace, weight }) => [workspace, weight]))
    this.#totals = {
      accelerators: map.size,
      cpuCores: map.upstreams.reduce((sum, upstream) => sum + upstream.view.cpuCores, 0),
      memoryBytes: map.upstreams.reduce((sum, upstream) => sum + upstream.view.memoryBytes, 0),
    }
  }

  addBorrowed(workspace: string, { gang, cpuCores, memoryBytes }: Demand): void {
    const present = this.#borrowed.get(workspace)
    this.#borrowed.set(workspace, {
      accelerators: (present?.accelerators ?? 0) + gang.accelerators,
      cpuCores: (present?.cpuCores ?? 0) + cpuCores,
      memoryBytes: (present?.memoryBytes ?? 0) + memoryBytes,
    })
  }

  computeShare(workspace: string): number {
    const borrowed = this.#borrowed.get(workspace)
    if (borrowed === undefined) return 0
    const share = Math.max(
      divide(borrowed.accelerators, this.#totals.accelerators),
      divide(borrowed.cpuCores, this.#totals.cpuCores),
      divide(borrowed.memoryBytes, this.#totals.memoryBytes),
    )
    return share / (this.#weights.get(workspace) ?? 1)
  }
}

function divide(part: number, total: number): number {
  return total === 0 ? 0 : part / total
}
