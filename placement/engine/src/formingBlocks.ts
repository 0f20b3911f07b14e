/**
 * Forming blocks: accelerators set apart for large waiting gangs until all of them are free. Meanwhile, only
 * jobs that can be stopped for the gang are backfilled there. A gang keeps its block as long as possible, so
 * that the time until the block is free only decreases.
 */
import { fitGang, type Block, type ClusterMap } from '@nettlespur/placement.topology'
import { FormingChooser } from './formingChooser.js'
import type { WaitingJob } from './placementView.js'
import type { VictimRules } from './victimRules.js'

/** Share of all accelerators that may be set apart at once; a single block may exceed it. */
const formingShareMax = 0.5

export interface FormingContext {
  readonly map: ClusterMap
  readonly rules: VictimRules
  readonly nowMs: number
  /** Moves reservations of other workspaces off these blocks; returns false if that is impossible. */
  readonly vacate: (job: WaitingJob, blocks: readonly Block[]) => boolean
}

export class FormingBlocks {
  #byJobId = new Map<string, readonly Block[]>()

  get(jobId: string): readonly Block[] | undefined {
    return this.#byJobId.get(jobId)
  }

  /** Marks all forming blocks in the map, so that the planner avoids mapping reservations to them. */
  markAll(map: ClusterMap): void {
    for (const [jobId, blocks] of this.#byJobId) {
      map.visit(blocks, (upstream, index) => (upstream.formingFor[index] = jobId))
    }
  }

  /** Keeps the blocks that their waiting jobs can still use, marks them in the map, and drops the others. */
  keepAvailableBlocks(
    { map, rules }: Pick<FormingContext, 'map' | 'rules'>,
    waiting: readonly WaitingJob[],
  ): void {
    const former = this.#byJobId
    this.#byJobId = new Map()
    if (former.size === 0) return
    for (const upstream of map.upstreams) upstream.formingFor.fill(undefined)
    for (const job of waiting) {
      const blocks = former.get(job.jobId)
      if (blocks === undefined || job.holdReason !== undefined) continue
      if (isStillAvailable(map, blocks, job, rules)) this.#assign(map, job, blocks)
    }
  }

  /**
   * Sets apart the block that is expected to be free soonest. Returns undefined if none fits, or if too many
   * accelerators are set apart already.
   */
  formBlock(context: FormingContext, job: WaitingJob): readonly Block[] | undefined {
    const { map, rules, nowMs } = context
    const total = this.#countAccelerators() + job.gang.accelerators
    if (this.#byJobId.size > 0 && total > map.size * formingShareMax) return undefined
    const open = fitGang(map, job, new FormingChooser({ job, rules, nowMs }))
    const blocks = open ?? this.#findReservedBlocks(context, job)
    if (blocks !== undefined) this.#assign(map, job, blocks)
    return blocks
  }

  /** Removes the forming block of a job, once it has started. */
  release(map: ClusterMap, jobId: string): void {
    const blocks = this.#byJobId.get(jobId)
    if (blocks === undefined) return
    this.#byJobId.delete(jobId)
    map.visit(blocks, (upstream, index) => (upstream.formingFor[index] = undefined))
  }

  /** Finds a block for an unstoppable job among others' reservations, and moves these elsewhere. */
  #findReservedBlocks(
    { map, rules, nowMs, vacate }: FormingContext,
    job: WaitingJob,
  ): Block[] | undefined {
    if (job.stoppability !== 'never') return undefined
    const asStoppable: WaitingJob = { ...job, stoppability: 'repeat' }
    const chooser = new FormingChooser({ job: asStoppable, rules, nowMs })
    const blocks = fitGang(map, job, chooser)
    return blocks !== undefined && vacate(job, blocks) ? blocks : undefined
  }

  #assign(map: ClusterMap, job: WaitingJob, blocks: readonly Block[]): void {
    this.#byJobId.set(job.jobId, blocks)
    map.visit(blocks, (upstream, index) => (upstream.formingFor[index] = job.jobId))
  }

  #countAccelerators(): number {
    let count = 0
    for (const blocks of this.#byJobId.values()) {
      for (const block of blocks) count += block.acceleratorIndexes.length
    }
    return count
  }
}

/** Whether all accelerators of the blocks still exist and are still available to the job. */
function isStillAvailable(
  map: ClusterMap,
  blocks: readonly Block[],
  job: WaitingJob,
  rules: VictimRules,
): boolean {
  return blocks.every(({ upstreamId, acceleratorIndexes }) => {
    const upstream = map.find(upstreamId)
    if (upstream === undefined) return false
    return acceleratorIndexes.every(
      (index) => index < upstream.size && rules.isAvailableTo(upstream, index, job, 'forming'),
    )
  })
}
