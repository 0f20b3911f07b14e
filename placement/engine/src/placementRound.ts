/**
 * The state of one round: the cluster as it will be after the decisions made so far. Starts and preemptions
 * are recorded at once, so that no accelerator is assigned twice.
 */
import type { Contract } from '@nettlespur/api.schemas'
import { isUnstoppable, type ReservationPlanner } from '@nettlespur/placement.plan'
import {
  ClusterMap,
  fitGang,
  computeDemandShare,
  type Block,
  type RunningGang,
} from '@nettlespur/placement.topology'
import { PreemptionChooser } from './preemptionChooser.js'
import { describeBlocks } from './describe.js'
import { DominantShares } from './dominantShares.js'
import type { FormingBlocks } from './formingBlocks.js'
import { measureLostWork } from './measureLostWork.js'
import type { PlacementDecision, PreemptDecision } from './placementDecision.js'
import type { PlacementView, WaitingJob } from './placementView.js'
import { createPlacedGang } from './createPlacedGang.js'
import { StartChooser, type StartChooserOptions } from './startChooser.js'
import { VictimRules, type Claim } from './victimRules.js'

export interface PlacementRoundOptions {
  readonly view: PlacementView
  readonly planner: ReservationPlanner
  readonly forming: FormingBlocks
}

/** Blocks that a job can use once the victims on them have stopped. */
export interface PreemptionPlan {
  readonly blocks: readonly Block[]
  readonly victims: readonly RunningGang[]
  /** Accelerator time in milliseconds that stopping the victims loses. */
  readonly lostWork: number
}

export class PlacementRound {
  readonly view: PlacementView
  readonly map: ClusterMap
  readonly shares: DominantShares
  readonly rules: VictimRules
  readonly contracts: ReadonlyMap<string, Contract>
  readonly preemptions: PreemptDecision[] = []
  readonly #decided = new Map<string, PlacementDecision>()
  readonly #planner: ReservationPlanner
  readonly #forming: FormingBlocks
  readonly #heldCounts = new Map<string, number>()
  readonly #placedNow = new Set<RunningGang>()
  readonly #stoppedNow = new Set<RunningGang>()

  constructor({ view, planner, forming }: PlacementRoundOptions) {
    this.view = view
    this.#planner = planner
    this.#forming = forming
    this.map = new ClusterMap(view.upstreams, view.running)
    this.contracts = new Map(view.contracts.map((contract) => [contract.workspace, contract]))
    forming.markAll(this.map)
    planner.update(this.map, view.contracts)
    const protectedGangs = new Set(view.running.filter((gang) => this.#isWithinGuarantee(gang)))
    const [placedNow, stoppedNow] = [this.#placedNow, this.#stoppedNow]
    this.rules = new VictimRules({
      largestUpstreamSize: this.map.largestUpstreamSize,
      protectedGangs,
      placedNow,
      stoppedNow,
    })
    this.shares = new DominantShares(this.map, view.contracts)
    for (const gang of view.running) {
      this.#addHeld(gang.workspace, gang.gang.accelerators)
      if (!protectedGangs.has(gang)) this.shares.addBorrowed(gang.workspace, gang)
    }
    forming.keepAvailableBlocks({ map: this.map, rules: this.rules }, view.waiting)
  }

  isUndecided(job: WaitingJob): boolean {
    return !this.#decided.has(job.jobId)
  }

  decide(decision: PlacementDecision): void {
    this.#decided.set(decision.jobId, decision)
  }

  get decisions(): PlacementDecision[] {
    return [...this.#decided.values(), ...this.preemptions]
  }

  /** Lists the gangs placed in this round. */
  listPlaced(): RunningGang[] {
    return [...this.#placedNow]
  }

  isUnstoppable(jobId: string): boolean {
    return this.listPlaced().some((gang) => gang.jobId === jobId && isUnstoppable(gang))
  }

  /** Whether the workspace has an unused reservation of the job's shape. */
  hasUnusedReservation(job: WaitingJob): boolean {
    return this.#planner.hasUnusedReservation(this.map, job.workspace, job.gang)
  }

  /** Moves other workspaces' reservations off these blocks; returns false if they fit nowhere else. */
  vacate(job: WaitingJob, blocks: readonly Block[]): boolean {
    return this.#planner.tryVacate(this.map, createPlacedGang(job, blocks))
  }

  hasPlaced(job: WaitingJob): boolean {
    return this.#decided.get(job.jobId)?.kind === 'place'
  }

  /** Whether a forming block is set apart for this job. */
  hasFormingBlock(job: WaitingJob): boolean {
    return this.#forming.get(job.jobId) !== undefined
  }

  /** Number of accelerators that the workspace holds, including those it was given in this round. */
  countHeld(workspace: string): number {
    return this.#heldCounts.get(workspace) ?? 0
  }

  findStart(
    job: WaitingJob,
    opts: Omit<StartChooserOptions, 'job' | 'mayBackfill'> = {},
  ): Block[] | undefined {
    return fitGang(
      this.map,
      job,
      new StartChooser({ ...opts, job, mayBackfill: this.rules.mayBackfill(job) }),
    )
  }

  /** Starts the job on these free accelerators; returns false if that would break guaranteed shapes. */
  tryStart(job: WaitingJob, blocks: readonly Block[], reason: string): boolean {
    const gang = createPlacedGang(job, blocks)
    if (isUnstoppable(gang) && !this.#planner.tryVacate(this.map, gang)) return false
    this.map.hold(gang)
    this.#placedNow.add(gang)
    this.#forming.release(this.map, job.jobId)
    this.#planner.tryMoveToGang(this.map, gang)
    this.#addHeld(job.workspace, job.gang.accelerators)
    if (!this.#isWithinGuarantee(gang)) this.shares.addBorrowed(job.workspace, job)
    this.decide({ kind: 'place', jobId: job.jobId, blocks, reason })
    return true
  }

  /** Finds the preemption with the least work lost; undefined if there is none. */
  findPreemption(job: WaitingJob, claim: Claim): PreemptionPlan | undefined {
    const { rules, view } = this
    const chooser = new PreemptionChooser({ job, claim, rules, nowMs: view.nowMs })
    return this.planPreemption(job, claim, fitGang(this.map, job, chooser))
  }

  /**
   * Lists the victims to stop for this job to get these blocks. Returns undefined if a holder must not be
   * stopped, or if stopping all victims does not free enough processors and memory.
   */
  planPreemption(
    job: WaitingJob,
    claim: Claim,
    blocks: readonly Block[] | undefined,
  ): PreemptionPlan | undefined {
    if (blocks === undefined) return undefined
    const victims = new Set<RunningGang>()
    for (const block of blocks) if (!this.#addVictims(job, claim, block, victims)) return undefined
    let lostWork = 0
    for (const victim of victims) {
      if (!this.rules.isStopping(victim)) lostWork += measureLostWork(victim, this.view.nowMs)
    }
    return { blocks, victims: [...victims], lostWork }
  }

  /** Stops the victims and promises the blocks to the job, which waits until they have stopped. */
  preempt(job: WaitingJob, { blocks, victims }: PreemptionPlan, why: string): void {
    const place = describeBlocks(blocks)
    this.#addHeld(job.workspace, job.gang.accelerators)
    this.map.visit(blocks, (upstream, index) => (upstream.promisedTo[index] = job.jobId))
    for (const victim of victims) {
      if (this.rules.isStopping(victim)) continue
      this.#stoppedNow.add(victim)
      this.preemptions.push({
        kind: 'preempt',
        jobId: victim.jobId,
        forJobId: job.jobId,
        withCheckpoint: victim.stoppability === 'checkpoint',
        reason: `makes room on ${place} for ${job.jobId}: ${why}`,
      })
    }
    const names = victims.map((victim) => victim.jobId).join(', ')
    this.decide({
      kind: 'wait',
      jobId: job.jobId,
      reason: `starts on ${place} once ${names} has stopped: ${why}`,
    })
  }

  /**
   * Adds to `victims` the holders of the block, then other gangs of the upstream, least work lost first, until
   * processors and memory are enough. Returns false if that cannot free the block.
   */
  #addVictims(job: WaitingJob, claim: Claim, block: Block, victims: Set<RunningGang>): boolean {
    const upstream = this.map.find(block.upstreamId)
    if (upstream === undefined) return false
    const { rules } = this
    const need = computeDemandShare(job, block.acceleratorIndexes.length)
    const candidates = new Set(upstream.holders.filter((holder) => holder !== undefined))
    let { freeCpuCores, freeMemoryBytes } = upstream
    const add = (gang: RunningGang): void => {
      candidates.delete(gang)
      victims.add(gang)
      const count = upstream.holders.filter((holder) => holder === gang).length
      const { cpuCores, memoryBytes } = computeDemandShare(gang, count)
      freeCpuCores += cpuCores
      freeMemoryBytes += memoryBytes
    }
    for (const index of block.acceleratorIndexes) {
      const holder = upstream.holders[index]
      if (holder === undefined || !candidates.has(holder)) continue
      if (!rules.canStop(holder, job, claim)) return false
      add(holder)
    }
    const isShort = (): boolean =>
      freeCpuCores < need.cpuCores - tolerance || freeMemoryBytes < need.memoryBytes - tolerance
    const { nowMs } = this.view
    const more = [...candidates]
      .filter((gang) => rules.canStop(gang, job, claim))
      .sort((left, right) => measureLostWork(left, nowMs) - measureLostWork(right, nowMs))
    for (const gang of more) if (isShort()) add(gang)
    return !isShort()
  }

  #isWithinGuarantee(gang: RunningGang): boolean {
    let isWithin = true
    this.map.visit(gang.blocks, (upstream, index) => {
      isWithin &&= upstream.reservedFor[index] === gang.workspace
    })
    return isWithin
  }

  #addHeld(workspace: string, accelerators: number): void {
    this.#heldCounts.set(workspace, this.countHeld(workspace) + accelerators)
  }
}

/** Allows for rounding errors in sums of fractional shares. */
const tolerance = 1e-6
