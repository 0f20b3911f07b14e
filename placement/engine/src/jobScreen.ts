/**
 * Which waiting jobs are considered at all in a round, and why the others are not. Remembers which shapes
 * have found no room, since room only shrinks while a round lasts.
 */
import { describeBlocks, describeGang } from './describe.js'
import { emptyMap, fitsOnEmpty } from './placementPolicy.js'
import type { PlacementRound } from './placementRound.js'
import type { WaitingJob } from './placementView.js'
import type { Block, ClusterMap } from '@nettlespur/placement.topology'

/** A shape that no known upstreams could hold for this long is given up on. */
const impossibleAfterMs = 600_000
/** Keeps a reservation whole for gangs of its own shape. */
const breaksReservationCost = 100_000

export class JobScreen {
  readonly #round: PlacementRound
  #emptyMap: ClusterMap | undefined
  /** Workspaces and shapes of which no reservation is unused. */
  readonly #usedUp = new Set<string>()
  readonly #noRoom = new Set<string>()
  readonly #possible = new Map<string, boolean>()
  readonly #largestUpstream: number
  readonly #guaranteedCounts: ReadonlyMap<string, number>

  constructor(round: PlacementRound) {
    this.#round = round
    this.#largestUpstream = round.map.largestUpstreamSize
    this.#guaranteedCounts = countGuaranteed(round)
  }

  /** Decides on jobs that cannot run now whatever is free. */
  admits(job: WaitingJob): boolean {
    const { jobId, heldBack } = job
    if (heldBack !== undefined) {
      this.#round.decide({ kind: 'wait', jobId, reason: heldBack })
      return false
    }
    const refusal = this.#findRefusal(job)
    if (refusal === undefined) return true
    this.#round.decide({ kind: 'refuse', jobId, reason: refusal })
    return false
  }

  /** Whether the job is undecided and its workspace is below its limit. */
  stillAdmits(job: WaitingJob): boolean {
    const round = this.#round
    if (!round.isUndecided(job)) return false
    const { jobId, workspace, gang } = job
    const limit = round.contracts.get(workspace)?.limits.concurrentAccelerators ?? 0
    if (round.countHeld(workspace) + gang.accelerators <= limit) return true
    const reason = `workspace ${workspace} is at the ${limit} accelerators its contract allows at once`
    round.decide({ kind: 'wait', jobId, reason })
    return false
  }

  /** Looks for room unless the same shape has found none before in this round. */
  once<T>(look: string, job: WaitingJob, find: () => T | undefined): T | undefined {
    const isSpecial = job.avoidedUpstreamIds !== undefined || this.#round.ownsForming(job)
    const name = `${look} ${nameClass(job)}${isSpecial ? job.jobId : ''}`
    if (this.#noRoom.has(name)) return undefined
    const found = find()
    if (found === undefined) this.#noRoom.add(name)
    return found
  }

  /** Whether what the plan keeps for the workspace is large enough for this job, beside what it runs. */
  isWithinGuarantee(job: WaitingJob): boolean {
    const guaranteed = this.#guaranteedCounts.get(job.workspace) ?? 0
    if (guaranteed === 0) return false
    if (this.#hasOwnReservation(job)) return true
    const held = this.#round.countHeld(job.workspace)
    return held + job.gang.accelerators <= guaranteed
  }

  rateOwnReserved(job: WaitingJob): number {
    return this.#hasOwnReservation(job) ? -breaksReservationCost : breaksReservationCost
  }

  /** Gangs that fill an upstream or more have blocks set apart for them. */
  mayForm(job: WaitingJob): boolean {
    return job.gang.accelerators >= this.#largestUpstream && this.isPossible(job)
  }

  holdBack(job: WaitingJob, forming?: readonly Block[]): void {
    const { jobId } = job
    const asked = describeGang(job)
    if (!this.isPossible(job)) {
      const reason = `no set of the known upstreams can hold ${asked} with its processors and memory`
      this.#round.decide({ kind: 'wait', jobId, reason })
      return
    }
    const keeps = forming === undefined ? '' : `; ${describeBlocks(forming)} forms for it`
    const reason = `no room for ${asked}${keeps}`
    this.#round.decide({ kind: 'wait', jobId, reason })
  }

  isPossible(job: WaitingJob): boolean {
    const name = nameDemand(job)
    const known = this.#possible.get(name)
    if (known !== undefined) return known
    this.#emptyMap ??= emptyMap(this.#round.view.upstreams)
    const isPossible = fitsOnEmpty(this.#emptyMap, job)
    this.#possible.set(name, isPossible)
    return isPossible
  }

  #findRefusal(job: WaitingJob): string | undefined {
    const { view, contracts } = this.#round
    const limits = contracts.get(job.workspace)?.limits
    if (limits !== undefined && job.gang.accelerators > limits.concurrentAccelerators) {
      return `the contract of ${job.workspace} allows ${limits.concurrentAccelerators} accelerators at once`
    }
    const waitedMs = view.nowMs - job.submittedAtMs
    if (!view.upstreamsKnown || waitedMs < impossibleAfterMs || this.isPossible(job)) {
      return undefined
    }
    return `no set of the known upstreams can hold ${describeGang(job)}, now or when all are up`
  }

  #hasOwnReservation(job: WaitingJob): boolean {
    const { workspace, gang } = job
    const name = `${workspace} ${gang.accelerators} ${gang.adjacency}`
    if (this.#usedUp.has(name)) return false
    const hasOne = this.#round.hasUnusedReservation(job)
    if (!hasOne) this.#usedUp.add(name)
    return hasOne
  }
}

function countGuaranteed({ view }: PlacementRound): ReadonlyMap<string, number> {
  return new Map(
    view.contracts.map(({ workspace, guarantees }) => {
      const count = guarantees.reduce((sum, one) => sum + one.accelerators * one.count, 0)
      return [workspace, count]
    }),
  )
}

function nameClass(job: WaitingJob): string {
  return `${job.workspace} ${job.stoppability} ${nameDemand(job)}`
}

function nameDemand({ gang, cpuCores, memoryBytes }: WaitingJob): string {
  return `${gang.accelerators} ${gang.adjacency} ${cpuCores} ${memoryBytes}`
}
