/**
 * The order of every round: work within its workspace's guarantee, urgent work, the blocks that form for
 * waiting gangs, and then borrowed capacity by weighted dominant resource fairness. What the two objectives
 * weigh differently is left to them.
 */
import { checkPlan, ReservationPlanner, type ReservationPlan } from '@nettlespur/placement.plan'
import type { Block } from '@nettlespur/placement.topology'
import { describeBlocks, describeGang } from './describe.js'
import { FormingBlocks } from './formingBlocks.js'
import { JobScreen } from './jobScreen.js'
import type { PlacementDecision } from './placementDecision.js'
import { PlacementPolicy } from './placementPolicy.js'
import { PlacementRound } from './placementRound.js'
import type { PlacementView, WaitingJob } from './placementView.js'
import { sortIntoQueues, takeByShare } from './workspaceQueues.js'

/** After this wait the longest-waiting gang's forming block is cleared whatever the work lost. */
const formingWaitMaxMs = 1_800_000
/** Gangs of one workspace, and of all, that may have a block set apart; the longest-waiting ones. */
const formingPerWorkspaceMax = 2
const formingMax = 6

export abstract class ObjectivePolicy extends PlacementPolicy {
  readonly #planner = new ReservationPlanner()
  readonly #forming = new FormingBlocks()

  /** Lower is served earlier among the normal jobs of one workspace. */
  protected abstract rank(job: WaitingJob, nowMs: number): number

  /** How many times the accelerator time it has waited a gang may make others lose. */
  protected abstract readonly preemptionPatience: number

  override get plan(): ReservationPlan {
    return this.#planner.plan
  }

  decide(view: PlacementView): PlacementDecision[] {
    const round = new PlacementRound({ view, planner: this.#planner, forming: this.#forming })
    const screen = new JobScreen(round)
    const open = view.waiting.filter((job) => screen.admits(job))
    const urgent = open.filter((job) => job.urgency === 'urgent')
    const normal = open.filter((job) => job.urgency !== 'urgent')
    for (const job of [...urgent, ...normal]) this.#placeGuaranteed(round, screen, job)
    for (const job of urgent) this.#placeUrgent(round, screen, job)
    this.#placeForming(round, screen, normal)
    this.#placeBorrowing(round, screen, normal)
    return this.#confirm(round)
  }

  #placeUrgent(round: PlacementRound, screen: JobScreen, job: WaitingJob): void {
    if (!screen.stillAdmits(job)) return
    if (this.#startBorrowing(round, screen, job, 'urgent')) return
    const clearing = screen.once('urgent', job, () => round.findClearing(job, 'urgent'))
    if (clearing === undefined || clearing.victims.length === 0) screen.holdBack(job)
    else round.clear(job, clearing, 'urgent work, least work lost')
  }

  #placeGuaranteed(round: PlacementRound, screen: JobScreen, job: WaitingJob): void {
    if (screen.stillAdmits(job)) this.#placeWithinGuarantee(round, screen, job)
  }

  /** On free accelerators if there are any; else what the plan keeps is reclaimed. */
  #placeWithinGuarantee(round: PlacementRound, screen: JobScreen, job: WaitingJob): boolean {
    if (!screen.isWithinGuarantee(job)) return false
    const opts = { avoidsReserved: true, ownReservedCost: screen.rateOwnReserved(job) }
    const start = screen.once('guaranteed-start', job, () => round.findStart(job, opts))
    if (
      start !== undefined &&
      round.tryStart(job, start, describeStart(job, start, 'guaranteed'))
    ) {
      return true
    }
    const clearing = screen.once('guaranteed', job, () => round.findClearing(job, 'guaranteed'))
    if (clearing === undefined) return false
    if (clearing.victims.length === 0) {
      const reason = describeStart(job, clearing.blocks, 'guaranteed')
      return round.tryStart(job, clearing.blocks, reason)
    }
    round.clear(job, clearing, `guaranteed to ${job.workspace}`)
    return true
  }

  /** The longest-waiting gangs, one of each workspace. */
  #placeForming(round: PlacementRound, screen: JobScreen, normal: readonly WaitingJob[]): void {
    let isOldest = true
    let left = formingMax
    const served = new Map<string, number>()
    for (const job of normal) {
      if (left === 0) return
      if (
        (served.get(job.workspace) ?? 0) >= formingPerWorkspaceMax ||
        !round.isUndecided(job) ||
        !screen.mayForm(job)
      )
        continue
      if (!screen.stillAdmits(job)) continue
      served.set(job.workspace, (served.get(job.workspace) ?? 0) + 1)
      this.#placeFormingOne(round, screen, job, isOldest)
      left -= 1
      isOldest &&= round.hasPlaced(job)
    }
  }

  #placeFormingOne(
    round: PlacementRound,
    screen: JobScreen,
    job: WaitingJob,
    isOldest: boolean,
  ): void {
    if (this.#startBorrowing(round, screen, job, 'longest wait')) return
    const { map, rules, view } = round
    const vacate = (one: WaitingJob, on: readonly Block[]): boolean => round.vacate(one, on)
    const site = { map, rules, nowMs: view.nowMs, vacate }
    const blocks = this.#forming.get(job.jobId) ?? this.#forming.form(site, job)
    const clearing = round.clearBlocks(job, 'forming', blocks)
    const best = clearing ?? screen.once('forming', job, () => round.findClearing(job, 'forming'))
    if (best === undefined || best.victims.length === 0) return
    if (!this.#isWorthwhile(job, best.lostWork, view.nowMs, isOldest)) return
    round.clear(job, best, 'its wait outweighs the work lost')
  }

  #isWorthwhile(job: WaitingJob, lostWork: number, nowMs: number, isOldest: boolean): boolean {
    const waitedMs = nowMs - job.queuedAtMs
    if (isOldest && waitedMs >= formingWaitMaxMs) return true
    return lostWork <= waitedMs * job.gang.accelerators * this.preemptionPatience
  }

  #placeBorrowing(round: PlacementRound, screen: JobScreen, normal: readonly WaitingJob[]): void {
    const { nowMs } = round.view
    const undecided = normal.filter((job) => round.isUndecided(job))
    const queues = sortIntoQueues(undecided, (job) => this.rank(job, nowMs))
    takeByShare(queues, round.shares, (job) => {
      if (!screen.stillAdmits(job)) return
      if (!this.#startBorrowing(round, screen, job, 'borrowed')) {
        screen.holdBack(job, this.#forming.get(job.jobId))
      }
    })
  }

  #startBorrowing(round: PlacementRound, screen: JobScreen, job: WaitingJob, why: string): boolean {
    const start = screen.once('start', job, () => round.findStart(job))
    if (start !== undefined) return round.tryStart(job, start, describeStart(job, start, why))
    if (job.stoppability !== 'never') return false
    const opts = { takesReserved: true }
    const vacated = screen.once('vacate', job, () => round.findStart(job, opts))
    if (vacated === undefined) return false
    return round.tryStart(job, vacated, describeStart(job, vacated, why))
  }

  /** The last look, by the independent checker: what it objects to does not start. */
  #confirm(round: PlacementRound): PlacementDecision[] {
    const { view, decisions } = round
    const running = [...view.running, ...round.listPlaced()]
    const faults = checkPlan({ ...view, running }, this.plan)
    if (faults.every((fault) => fault.kind === 'missing')) return decisions
    const before = new Set(checkPlan(view, this.plan).map((fault) => fault.detail))
    const added = faults.filter((fault) => fault.kind !== 'missing' && !before.has(fault.detail))
    if (added.length === 0) return decisions
    const detail = added.map((fault) => fault.detail).join('; ')
    return decisions.map((decision) => {
      if (decision.kind !== 'place' || !round.isUnstoppable(decision.jobId)) return decision
      const { jobId } = decision
      return { kind: 'wait', jobId, reason: `would endanger what is guaranteed: ${detail}` }
    })
  }
}

function describeStart(
  job: WaitingJob,
  blocks: Parameters<typeof describeBlocks>[0],
  why: string,
): string {
  return `best fit for ${describeGang(job)}, ${why}: ${describeBlocks(blocks)}`
}
