/**
 * Decides which waiting jobs are considered in a round, and gives the reason why others are not. Caches
 * failed searches by shape, since free capacity only decreases during a round.
 */
import { describeBlocks, describeGang } from './describe.js'
import { buildDemandKey, Feasibility } from './feasibility.js'
import type { PlacementRound } from './placementRound.js'
import type { WaitingJob } from './placementView.js'
import type { Block } from '@nettlespur/placement.topology'

/** Cost that keeps gangs of other shapes from splitting a reservation. */
const splitReservationCost = 100_000

export class JobAdmission {
  readonly #round: PlacementRound
  readonly #onAllUpstreams: Feasibility
  readonly #withoutEvacuated: Feasibility
  /** Keys of workspace and shape that have no unused reservation. */
  readonly #shapesWithoutUnused = new Set<string>()
  readonly #failedSearches = new Set<string>()
  readonly #largestUpstreamSize: number
  readonly #guaranteedCounts: ReadonlyMap<string, number>

  constructor(round: PlacementRound) {
    this.#round = round
    const { upstreams } = round.view
    this.#onAllUpstreams = new Feasibility(upstreams)
    const others = upstreams.filter(({ state }) => state !== 'evacuated')
    this.#withoutEvacuated =
      others.length === upstreams.length ? this.#onAllUpstreams : new Feasibility(others)
    this.#largestUpstreamSize = round.map.largestUpstreamSize
    this.#guaranteedCounts = countGuaranteed(round)
  }

  /** Returns false, and records a decision, if the job cannot start now whatever is free. */
  tryAdmit(job: WaitingJob): boolean {
    const { jobId, holdReason } = job
    if (holdReason !== undefined) {
      this.#round.decide({ kind: 'wait', jobId, reason: holdReason })
      return false
    }
    const refusal = this.#findRefusal(job)
    if (refusal === undefined) return true
    this.#round.decide({ kind: 'refuse', jobId, reason: refusal })
    return false
  }

  /**
   * Returns false if the job is decided already or would exceed its workspace's limit of accelerators. In the
   * latter case the job is decided to wait.
   */
  tryAdmitWithinLimit(job: WaitingJob): boolean {
    const round = this.#round
    if (!round.isUndecided(job)) return false
    const { jobId, workspace, gang } = job
    const limit = round.contracts.get(workspace)?.limits.concurrentAccelerators ?? 0
    if (round.countHeld(workspace) + gang.accelerators <= limit) return true
    const reason = `workspace ${workspace} is at the ${limit} accelerators its contract allows at once`
    round.decide({ kind: 'wait', jobId, reason })
    return false
  }

  /**
   * Runs the search, or returns undefined at once if it has failed before in this round for a job of the same
   * workspace, stoppability and demand. Jobs that avoid upstreams or have a forming block share no result.
   */
  searchOnce<T>(searchName: string, job: WaitingJob, find: () => T | undefined): T | undefined {
    const isJobSpecific = job.avoidedUpstreamIds !== undefined || this.#round.hasFormingBlock(job)
    const name = `${searchName} ${buildSearchKey(job)}${isJobSpecific ? job.jobId : ''}`
    if (this.#failedSearches.has(name)) return undefined
    const found = find()
    if (found === undefined) this.#failedSearches.add(name)
    return found
  }

  /**
   * Whether the workspace's guarantees cover this job: an unused reservation has its shape, or the
   * accelerators held by the workspace would not exceed the guaranteed number.
   */
  isWithinGuarantee(job: WaitingJob): boolean {
    const guaranteed = this.#guaranteedCounts.get(job.workspace) ?? 0
    if (guaranteed === 0) return false
    if (this.#hasOwnReservation(job)) return true
    const held = this.#round.countHeld(job.workspace)
    return held + job.gang.accelerators <= guaranteed
  }

  computeOwnReservedCost(job: WaitingJob): number {
    return this.#hasOwnReservation(job) ? -splitReservationCost : splitReservationCost
  }

  /** Whether a block may be set apart for the job: only if it is as large as the largest upstream. */
  canForm(job: WaitingJob): boolean {
    return job.gang.accelerators >= this.#largestUpstreamSize && this.isFeasible(job)
  }

  decideWait(job: WaitingJob, forming?: readonly Block[]): void {
    const { jobId } = job
    const asked = describeGang(job)
    if (!this.isFeasible(job)) {
      const reason = `no set of the known upstreams can hold ${asked} with its processors and memory`
      this.#round.decide({ kind: 'wait', jobId, reason })
      return
    }
    if (!this.#withoutEvacuated.isFeasible(job)) {
      const evacuated = listEvacuated(this.#round).join(', ')
      const reason = `no room for ${asked} without the evacuated data centres: ${evacuated}`
      this.#round.decide({ kind: 'wait', jobId, reason })
      return
    }
    const formingNote =
      forming === undefined ? '' : `; ${describeBlocks(forming)} is set apart for it`
    const reason = `no room for ${asked}${formingNote}`
    this.#round.decide({ kind: 'wait', jobId, reason })
  }

  /** Whether the job would fit if all known upstreams were ready and no other gang ran. */
  isFeasible(job: WaitingJob): boolean {
    return this.#onAllUpstreams.isFeasible(job)
  }

  /** A job that no known upstreams can hold is not refused: those that can may only be silent. It waits, and says why. */
  #findRefusal(job: WaitingJob): string | undefined {
    const limits = this.#round.contracts.get(job.workspace)?.limits
    if (limits !== undefined && job.gang.accelerators > limits.concurrentAccelerators) {
      return `the contract of ${job.workspace} allows ${limits.concurrentAccelerators} accelerators at once`
    }
    return undefined
  }

  #hasOwnReservation(job: WaitingJob): boolean {
    const { workspace, gang } = job
    const name = `${workspace} ${gang.accelerators} ${gang.adjacency}`
    if (this.#shapesWithoutUnused.has(name)) return false
    const hasOne = this.#round.hasUnusedReservation(job)
    if (!hasOne) this.#shapesWithoutUnused.add(name)
    return hasOne
  }
}

/** Lists the evacuated data centres. */
function listEvacuated({ view }: PlacementRound): string[] {
  const evacuated = view.upstreams.filter(({ state }) => state === 'evacuated')
  return [...new Set(evacuated.map(({ dataCentre }) => dataCentre))]
}

function countGuaranteed({ view }: PlacementRound): ReadonlyMap<string, number> {
  return new Map(
    view.contracts.map(({ workspace, guarantees }) => {
      const count = guarantees.reduce((sum, one) => sum + one.accelerators * one.count, 0)
      return [workspace, count]
    }),
  )
}

function buildSearchKey(job: WaitingJob): string {
  return `${job.workspace} ${job.stoppability} ${buildDemandKey(job)}`
}
