/**
 * Chooses free accelerators that a job may start on. Those that are reserved for another workspace or belong
 * to another job's forming block are only for jobs that can be stopped.
 */
import { isUnstoppable, measureSpareResources } from '@nettlespur/placement.plan'
import {
  countByCpuAndMemory,
  FreeChooser,
  type Demand,
  type UpstreamCapacity,
} from '@nettlespur/placement.topology'
import type { WaitingJob } from './placementView.js'

const formingCost = 1_000_000
const stoppablePackingGain = 4
const unstoppablePackingGain = 4096

export interface StartChooserOptions {
  /** Whether the job may start on another job's forming block, since it can be stopped for that job. */
  readonly mayBackfill: boolean
  readonly job: WaitingJob
  /** Whether to avoid other workspaces' reservations even if the job can be stopped. */
  readonly avoidsReserved?: boolean
  /** Whether to use other workspaces' reservations; the caller must then move these elsewhere. */
  readonly takesReserved?: boolean
  /** Cost of each accelerator that is reserved for the job's own workspace. */
  readonly ownReservedCost?: number
}

export class StartChooser extends FreeChooser {
  readonly #opts: StartChooserOptions

  constructor(opts: StartChooserOptions) {
    super()
    this.#opts = opts
  }

  override isUsable(upstream: UpstreamCapacity, index: number): boolean {
    if (!super.isUsable(upstream, index)) return false
    const { job, avoidsReserved, takesReserved } = this.#opts
    if (job.avoidedUpstreamIds?.has(upstream.upstreamId) === true) return false
    const reservedFor = upstream.reservedFor[index]
    const isReservedForOthers = reservedFor !== undefined && reservedFor !== job.workspace
    const mayTake = takesReserved === true
    if (
      isReservedForOthers &&
      !mayTake &&
      (avoidsReserved === true || job.stoppability === 'never')
    )
      return false
    const formingFor = upstream.formingFor[index]
    const isFormingForOther = formingFor !== undefined && formingFor !== job.jobId
    return !isFormingForOther || this.#opts.mayBackfill
  }

  override countUsableMax(upstream: UpstreamCapacity): number {
    const isAvoided = this.#opts.job.avoidedUpstreamIds?.has(upstream.upstreamId) === true
    return isAvoided ? 0 : super.countUsableMax(upstream)
  }

  override computeCost(upstream: UpstreamCapacity, from: number, count: number): number {
    const { job, ownReservedCost = 0 } = this.#opts
    let cost =
      super.computeCost(upstream, from, count) -
      this.#countSameKindHolders(upstream) *
        (this.#opts.job.stoppability === 'never' ? unstoppablePackingGain : stoppablePackingGain)
    for (let index = from; index < from + count; index += 1) {
      const formingFor = upstream.formingFor[index]
      if (formingFor !== undefined && formingFor !== job.jobId) cost += formingCost
      if (upstream.reservedFor[index] === job.workspace) cost += ownReservedCost
    }
    return cost
  }

  override countByCpuAndMemory(upstream: UpstreamCapacity, demand: Demand): number {
    const byFree = super.countByCpuAndMemory(upstream, demand)
    const { job } = this.#opts
    if (job.stoppability !== 'never') return byFree
    const spare = measureSpareResources(upstream, job.workspace)
    return Math.min(byFree, countByCpuAndMemory(demand, spare.cpuCores, spare.memoryBytes))
  }

  /** Counts the holders as stoppable as the job; keeps unstoppable gangs off capacity to be reclaimed. */
  #countSameKindHolders(upstream: UpstreamCapacity): number {
    const isJobUnstoppable = this.#opts.job.stoppability === 'never'
    let count = 0
    for (const holder of upstream.holders) {
      if (holder !== undefined && isUnstoppable(holder) === isJobUnstoppable) count += 1
    }
    return count
  }
}
