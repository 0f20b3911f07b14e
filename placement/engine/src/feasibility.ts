/** Whether gangs would fit on a set of upstreams if no gang ran there. Each demand is checked once. */
import type { UpstreamView } from '@nettlespur/api.schemas'
import type { ClusterMap } from '@nettlespur/placement.topology'
import { canFitOnEmpty, createEmptyMap } from './placementPolicy.js'
import type { WaitingJob } from './placementView.js'

export class Feasibility {
  readonly #upstreams: readonly UpstreamView[]
  readonly #byDemand = new Map<string, boolean>()
  #emptyMap: ClusterMap | undefined

  constructor(upstreams: readonly UpstreamView[]) {
    this.#upstreams = upstreams
  }

  isFeasible(job: WaitingJob): boolean {
    const name = buildDemandKey(job)
    const known = this.#byDemand.get(name)
    if (known !== undefined) return known
    this.#emptyMap ??= createEmptyMap(this.#upstreams)
    const isFeasible = canFitOnEmpty(this.#emptyMap, job)
    this.#byDemand.set(name, isFeasible)
    return isFeasible
  }
}

/** Names what a job asks for: jobs with the same key fit on the same upstreams. */
export function buildDemandKey({ gang, cpuCores, memoryBytes }: WaitingJob): string {
  return `${gang.accelerators} ${gang.adjacency} ${cpuCores} ${memoryBytes}`
}
