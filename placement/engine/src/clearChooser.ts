/** Accelerators that are free or can be cleared for a job; best where the least work is lost. */
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

/** Of equal losses, fewer gangs are better, then fewer free accelerators around. */
const gangCost = 1000

export interface ClearChooserOptions {
  readonly job: WaitingJob
  readonly claim: Claim
  readonly rules: VictimRules
  readonly nowMs: number
}

export class ClearChooser extends BlockChooser {
  readonly #opts: ClearChooserOptions

  constructor(opts: ClearChooserOptions) {
    super()
    this.#opts = opts
  }

  isUsable(room: UpstreamCapacity, index: number): boolean {
    const { job, claim, rules } = this.#opts
    if (!rules.isOpenTo(room, index, job, claim)) return false
    const holder = room.holders[index]
    return holder === undefined || rules.mayStop(holder, job, claim)
  }

  computeCost(room: UpstreamCapacity, from: number, count: number): number {
    const victims = new Set(room.holders.slice(from, from + count))
    let rate = room.freeCount
    for (const victim of victims) if (victim !== undefined) rate += this.#measureLoss(victim)
    return rate
  }

  override computeRackCost(): number {
    return 0
  }

  /** With the processors and memory of all that may be stopped there. */
  override countByCpuAndMemory(room: UpstreamCapacity, demand: Demand): number {
    const { job, claim, rules } = this.#opts
    let cpuCores = room.freeCpuCores
    let memoryBytes = room.freeMemoryBytes
    for (const holder of room.holders) {
      if (holder === undefined || !rules.mayStop(holder, job, claim)) continue
      const share = computeDemandShare(holder, 1)
      cpuCores += share.cpuCores
      memoryBytes += share.memoryBytes
    }
    const byFreed = countByCpuAndMemory(demand, cpuCores, memoryBytes)
    if (job.stoppability !== 'never') return byFreed
    const spare = measureSpareResources(room, job.workspace)
    return Math.min(byFreed, countByCpuAndMemory(demand, spare.cpuCores, spare.memoryBytes))
  }

  #measureLoss(victim: RunningGang): number {
    const { rules, nowMs } = this.#opts
    return rules.isStopping(victim) ? 0 : measureLostWork(victim, nowMs) + gangCost
  }
}
