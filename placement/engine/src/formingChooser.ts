/**
 * Chooses the block that is expected to be free soonest for a waiting job. A gang that the job may preempt
 * costs the work it would lose; any other gang costs its expected remaining run time.
 */
import {
  BlockChooser,
  countByCpuAndMemory,
  type Demand,
  type UpstreamCapacity,
} from '@nettlespur/placement.topology'
import { estimateRemainingMs, measureLostWork } from './measureLostWork.js'
import type { WaitingJob } from './placementView.js'
import type { VictimRules } from './victimRules.js'

export interface FormingChooserOptions {
  readonly job: WaitingJob
  readonly rules: VictimRules
  readonly nowMs: number
}

export class FormingChooser extends BlockChooser {
  readonly #opts: FormingChooserOptions

  constructor(opts: FormingChooserOptions) {
    super()
    this.#opts = opts
  }

  isUsable(upstream: UpstreamCapacity, index: number): boolean {
    const { job, rules } = this.#opts
    return rules.isAvailableTo(upstream, index, job, 'forming')
  }

  computeCost(upstream: UpstreamCapacity, from: number, count: number): number {
    const { job, rules, nowMs } = this.#opts
    let cost = 0
    for (const holder of new Set(upstream.holders.slice(from, from + count))) {
      if (holder === undefined || rules.isStopping(holder)) continue
      const isVictim = rules.canStop(holder, job, 'forming')
      const lostMs = measureLostWork(holder, nowMs) / job.gang.accelerators
      cost += isVictim ? lostMs : estimateRemainingMs(holder, nowMs)
    }
    return cost
  }

  override computeRackCost(): number {
    return 0
  }

  /** Counts all processors and memory of the upstream, since its running gangs will have ended. */
  override countByCpuAndMemory(upstream: UpstreamCapacity, demand: Demand): number {
    return countByCpuAndMemory(demand, upstream.view.cpuCores, upstream.view.memoryBytes)
  }
}
