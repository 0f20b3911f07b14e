/**
 * The common order of a round for both objectives: jobs within their workspace's guarantee, urgent jobs,
 * gangs with forming blocks, then jobs on borrowed capacity by weighted dominant resource fairness.
 * Subclasses set the rank of jobs and how much work a preemption may lose.
 */
import { checkPlan, ReservationPlanner, type ReservationPlan } from '@nettlespur/placement.plan'
import type { Block } from '@nettlespur/placement.topology'
import { describeBlocks, describeGang } from './describe.js'
import { FormingBlocks } from './formingBlocks.js'
import { JobAdmission } from './jobAdmission.js'
import type { PlacementDecision } from './placementDecision.js'
import { PlacementPolicy } from './placementPolicy.js'
import { PlacementRound } from './placementRound.js'
import type { PlacementView, WaitingJob } from './placementView.js'
import { sortIntoQueues, serveByShare } from './workspaceQueues.js'

/** After this wait, the longest-waiting gang may preempt others regardless of the work lost. */
const formingWaitMaxMs = 1_800_000
/** Limits on forming blocks, for each workspace and in total; the longest-waiting gangs get them. */
const formingPerWorkspaceMax = 2
const formingMax = 6

export abstract class ObjectivePolicy extends PlacementPolicy {
  readonly #planner = new ReservationPlanner()
  readonly #forming = new FormingBlocks()

  /** Rank of a normal job within its workspace; lower ranks are served first. */
  protected abstract rank(job: WaitingJob, nowMs: number): number

  /** Work that a gang's preemptions may lose, as a multiple of its own wait times its accelerators. */
  protected abstract readonly lostWorkRatioMax: number

  override get plan(): ReservationPlan {
    return this.#planner.plan
  }

  decide(view: PlacementView): PlacementDecision[] {
    const round = new PlacementRound({ view, planner: this.#planner, forming: this.#forming })
    const admission = new JobAdmission(round)
    const open = view.waiting.filter((job) => admission.tryAdmit(job))
    const urgent = open.filter((job) => job.urgency === 'urgent')
    const normal = open.filter((job) => job.urgency !== 'urgent')
    for (const job of [...urgent, ...normal]) this.#placeGuaranteed(round, admission, job)
    for (const job of urgent) this.#placeUrgent(round, admission, job)
    this.#placeForming(round, admission, normal)
    this.#placeBorrowing(round, admission, normal)
    return this.#withholdUnsafeStarts(round)
  }

  #placeUrgent(round: PlacementRound, admission: JobAdmission, job: WaitingJob): void {
    if (!admission.tryAdmitWithinLimit(job)) return
    if (this.#startBorrowing(round, admission, job, 'urgent')) return
    const preemption = admission.searchOnce('urgent', job, () =>
      round.findPreemption(job, 'urgent'),
    )
    if (preemption === undefined || preemption.victims.length === 0) admission.decideWait(job)
    else round.preempt(job, preemption, 'urgent work, least work lost')
  }

  #placeGuaranteed(round: PlacementRound, admission: JobAdmission, job: WaitingJob): void {
    if (admission.tryAdmitWithinLimit(job)) this.#placeWithinGuarantee(round, admission, job)
  }

  /** Uses free accelerators if the job fits; otherwise reclaims the accelerators reserved for it. */
  #placeWithinGuarantee(round: PlacementRound, admission: JobAdmission, job: WaitingJob): boolean {
    if (!admission.isWithinGuarantee(job)) return false
    const opts = { avoidsReserved: true, ownReservedCost: admission.computeOwnReservedCost(job) }
    const start = admission.searchOnce('guaranteed-start', job, () => round.findStart(job, opts))
    if (
      start !== undefined &&
      round.tryStart(job, start, describeStart(job, start, 'guaranteed'))
    ) {
      return true
    }
    const preemption = admission.searchOnce('guaranteed', job, () =>
      round.findPreemption(job, 'guaranteed'),
    )
    if (preemption === undefined) return false
    if (preemption.victims.length === 0) {
      const reason = describeStart(job, preemption.blocks, 'guaranteed')
      return round.tryStart(job, preemption.blocks, reason)
    }
    round.preempt(job, preemption, `guaranteed to ${job.workspace}`)
    return true
  }

  /** Starts the longest-waiting large gangs, or sets blocks apart for them, within the limits above. */
  #placeForming(
    round: PlacementRound,
    admission: JobAdmission,
    normal: readonly WaitingJob[],
  ): void {
    let isLongestWaiting = true
    let remaining = formingMax
    const served = new Map<string, number>()
    for (const job of normal) {
      if (remaining === 0) return
      if (
        (served.get(job.workspace) ?? 0) >= formingPerWorkspaceMax ||
        !round.isUndecided(job) ||
        !admission.canForm(job)
      )
        continue
      if (!admission.tryAdmitWithinLimit(job)) continue
      served.set(job.workspace, (served.get(job.workspace) ?? 0) + 1)
      this.#placeFormingOne(round, admission, job, isLongestWaiting)
      remaining -= 1
      isLongestWaiting &&= round.hasPlaced(job)
    }
  }

  #placeFormingOne(
    round: PlacementRound,
    admission: JobAdmission,
    job: WaitingJob,
    isLongestWaiting: boolean,
  ): void {
    if (this.#startBorrowing(round, admission, job, 'longest wait')) return
    const { map, rules, view } = round
    const vacate = (one: WaitingJob, on: readonly Block[]): boolean => round.vacate(one, on)
    const context = { map, rules, nowMs: view.nowMs, vacate }
    const blocks = this.#forming.get(job.jobId) ?? this.#forming.formBlock(context, job)
    const preemption = round.planPreemption(job, 'forming', blocks)
    const best =
      preemption ?? admission.searchOnce('forming', job, () => round.findPreemption(job, 'forming'))
    if (best === undefined || best.victims.length === 0) return
    if (!this.#isWorthwhile(job, best.lostWork, view.nowMs, isLongestWaiting)) return
    round.preempt(job, best, 'its wait outweighs the work lost')
  }

  #isWorthwhile(
    job: WaitingJob,
    lostWork: number,
    nowMs: number,
    isLongestWaiting: boolean,
  ): boolean {
    const waitedMs = nowMs - job.queuedAtMs
    if (isLongestWaiting && waitedMs >= formingWaitMaxMs) return true
    return lostWork <= waitedMs * job.gang.accelerators * this.lostWorkRatioMax
  }

  #placeBorrowing(
    round: PlacementRound,
    admission: JobAdmission,
    normal: readonly WaitingJob[],
  ): void {
    const { nowMs } = round.view
    const undecided = normal.filter((job) => round.isUndecided(job))
    const queues = sortIntoQueues(undecided, (job) => this.rank(job, nowMs))
    serveByShare(queues, round.shares, (job) => {
      if (!admission.tryAdmitWithinLimit(job)) return
      if (!this.#startBorrowing(round, admission, job, 'borrowed')) {
        admission.decideWait(job, this.#forming.get(job.jobId))
      }
    })
  }

  #startBorrowing(
    round: PlacementRound,
    admission: JobAdmission,
    job: WaitingJob,
    why: string,
  ): boolean {
    const start = admission.searchOnce('start', job, () => round.findStart(job))
    if (start !== undefined) return round.tryStart(job, start, describeStart(job, start, why))
    if (job.stoppability !== 'never') return false
    const opts = { takesReserved: true }
    const vacated = admission.searchOnce('vacate', job, () => round.findStart(job, opts))
    if (vacated === undefined) return false
    return round.tryStart(job, vacated, describeStart(job, vacated, why))
  }

  /**
   * Checks the result with the independent plan checker. If the round adds faults, none of its unstoppable
   * gangs start.
   */
  #withholdUnsafeStarts(round: PlacementRound): PlacementDecision[] {
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
      return { kind: 'wait', jobId, reason: `would violate guaranteed reservations: ${detail}` }
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
