/** Chooses accelerators that are free or can be preempted for a job, where the least work is lost. */
import { measureSpareResources } from '@nettlespur/placement.plan'
import {
  BlockChooser,
  countByCpuAndMemory,
  computeDemandShare,
  type Demand,
  type RunningGang,
  type UpstreamCapacity,
} from '@nettlespur/placement.topology'
import { measureLostWork } from './measureLostWork.js'
import type { WaitingJob } from './placementView.js'
import type { Claim, VictimRules } from './victimRules.js'

/** Cost of each victim: at equal loss, fewer victims are preferred, then fewer free accelerators around. */
const victimCost = 1000

export interface PreemptionChooserOptions {
  readonly job: WaitingJob
  readonly claim: Claim
  readonly rules: VictimRules
  readonly nowMs: number
}

export class PreemptionChooser extends BlockChooser {
  readonly #opts: PreemptionChooserOptions

  constructor(opts: PreemptionChooserOptions) {
    super()
    this.#opts = opts
  }

  isUsable(upstream: UpstreamCapacity, index: number): boolean {
    const { job, claim, rules } = this.#opts
    if (!rules.isAvailableTo(upstream, index, job, claim)) return false
    const holder = upstream.holders[index]
    return holder === undefined || rules.canStop(holder, job, claim)
  }

  computeCost(upstream: UpstreamCapacity, from: number, count: number): number {
    const victims = new Set(upstream.holders.slice(from, from + count))
    let cost = upstream.freeCount
    for (const victim of victims) if (victim !== undefined) cost += this.#measureLoss(victim)
    return cost
  }

  override computeRackCost(): number {
    return 0
  }

  /** Counts the processors and memory of all gangs on this upstream that can be stopped as free. */
  override countByCpuAndMemory(upstream: UpstreamCapacity, demand: Demand): number {
    const { job, claim, rules } = this.#opts
    let cpuCores = upstream.freeCpuCores
    let memoryBytes = upstream.freeMemoryBytes
    for (const holder of upstream.holders) {
      if (holder === undefined || !rules.canStop(holder, job, claim)) continue
      const share = computeDemandShare(holder, 1)
      cpuCores += share.cpuCores
      memoryBytes += share.memoryBytes
    }
    const byFreed = countByCpuAndMemory(demand, cpuCores, memoryBytes)
    if (job.stoppability !== 'never') return byFreed
    const spare = measureSpareResources(upstream, job.workspace)
    return Math.min(byFreed, countByCpuAndMemory(demand, spare.cpuCores, spare.memoryBytes))
  }

  #measureLoss(victim: RunningGang): number {
    const { rules, nowMs } = this.#opts
    return rules.isStopping(victim) ? 0 : measureLostWork(victim, nowMs) + victimCost
  }
}
