/**
 * Plans a scheduling round. Units are placed in rank order, each in the capacity that the ones before it left.
 * Guaranteed and urgent work that does not fit may preempt other runs, and the capacity they release is kept for it.
 */
import type { Placement } from '@nettlespur/batch.state'
import { addAll } from '@nettlespur/core.lists'
import { chooseUpstreams } from './chooseUpstreams.js'
import { chooseVictims } from './chooseVictims.js'
import { measureClaimWaitMsMax, type ClaimBounds } from './claimBounds.js'
import { computeStopCostLimit, measureWaitingWork } from './computeStopCostLimit.js'
import { Headroom } from './headroom.js'
import { listGuaranteedJobs } from './listGuaranteedJobs.js'
import { canFitWhenEmpty } from './listScopes.js'
import { listStarvingUnits } from './listStarvingUnits.js'
import { listVictimGroups, type VictimGroup } from './listVictimGroups.js'
import { orderUnits, type RankedUnit } from './orderUnits.js'
import { ownPreferences, placementPreferences } from './preference.js'
import { isPastGrace, promoteOverdueGang } from './promoteOverdueGang.js'
import { chooseRelaxed } from './chooseRelaxed.js'
import { reserveForGang } from './reserveForGang.js'
import { placementsPerRoundMax } from './roundLimits.js'
import { RoundAllocations } from './roundAllocations.js'
import type { ActiveRun, Preemption, RoundDecision, SchedulerView } from './schedulerView.js'
import { SpeedPlacement } from './speedPlacement.js'
import { createPlacements } from './startUnit.js'
import { VictimIndex } from './victimIndex.js'

/**
 * Urgent units beyond their guarantee for which a round searches for victims, in rank order. Each search goes over
 * all runs, so without a limit a round under high load would take several times as long.
 */
const urgentSearchesMax = 3
/**
 * For how long a unit starves for the sake of its preferences. Callers take a job for delayed after 3 s without a run
 * although there is room; this leaves a second for rounds, commits and starts.
 */
const preferenceWaitMaxMs = 2000

/**
 * After this wait a guaranteed unit gets its capacity in any racks if it cannot be freed in those it prefers. Guaranteed
 * work has to start 2,900 ms after its acceptance; this leaves time to stop the runs that borrow its capacity.
 */
const guaranteedPreferenceWaitMs = 2000

export function planRound(view: SchedulerView): RoundDecision {
  const guaranteed = listGuaranteedJobs(view.jobs, view.guarantees)
  const units = orderUnits(view, guaranteed)
  // Most rounds of a pool with room find nothing that waits, and need no upstream for that.
  const upstreams = units.length === 0 ? [] : view.upstreams
  const allocations = new RoundAllocations(upstreams, view.nowMs)
  const round = new Round(view, guaranteed, allocations)
  for (const unit of promoteOverdueGang(units, allocations)) round.decide(unit)
  return round.finish()
}

/** Whether the unit may claim its guarantee in racks that it does not prefer. */
function mayClaimAnyRack(
  { isGuaranteed, waitedMs, step }: RankedUnit,
  bounds: ClaimBounds | undefined,
): boolean {
  const prefersRacks = step.prefersOneRack || step.dataRack !== undefined
  const waitMsMax = bounds === undefined ? Infinity : measureClaimWaitMsMax(bounds)
  return isGuaranteed && prefersRacks && waitedMs >= Math.min(guaranteedPreferenceWaitMs, waitMsMax)
}

function toAnyRack(unit: RankedUnit): RankedUnit {
  return { ...unit, relaxed: new Set(placementPreferences) }
}

class Round {
  readonly placements: Placement[] = []
  readonly preemptions: Preemption[] = []
  readonly #allocations: RoundAllocations
  readonly #started: ActiveRun[] = []
  readonly #view: SchedulerView
  readonly #guaranteed: ReadonlySet<string>
  /** Runs that may be preempted; computed on first use. */
  #victims: VictimIndex | undefined
  /** Units of which the round starts nothing. */
  readonly #leftWaiting: RankedUnit[] = []
  #urgentSearches = 0
  #speedSearches = 0
  readonly #speedPlacement: SpeedPlacement
  readonly #headroom: Headroom

  constructor(view: SchedulerView, guaranteed: ReadonlySet<string>, allocations: RoundAllocations) {
    this.#view = view
    this.#guaranteed = guaranteed
    this.#allocations = allocations
    this.#headroom = new Headroom(view.headroom, allocations)
    this.#speedPlacement = new SpeedPlacement(view, allocations)
  }

  decide(unlimited: RankedUnit): void {
    const ranked = this.#limit(unlimited)
    if (ranked === undefined) return
    const fastOnly = this.#speedPlacement.restrictToFast(ranked)
    if (fastOnly !== undefined && this.#decideFastOnly(fastOnly, ranked)) return
    const unit = this.#speedPlacement.addGroups(ranked)
    const upstreamIds = this.#headroom.admit(unit, this.#chooseUpstreams(unit))
    if (upstreamIds.length > 0) this.#place(unit, upstreamIds)
    else this.#leftWaiting.push(unit)
    if (upstreamIds.length < unit.waiting.length) {
      // Preemption for a trial start may free any upstream: the runs stopped there are gone before it starts.
      this.#handleUnplaced({
        ...unit,
        waiting: unit.waiting.slice(upstreamIds.length),
        isOnTrial: false,
      })
    }
  }

  /** Returns the unit with no more tasks than the round may still place; undefined if that leaves it to the next round. */
  #limit(unit: RankedUnit): RankedUnit | undefined {
    const left = placementsPerRoundMax - this.placements.length
    if (left <= 0) return undefined
    if (unit.step.isGang || unit.waiting.length <= left) return unit
    return { ...unit, waiting: unit.waiting.slice(0, left) }
  }

  /**
   * Places the unit only on upstreams that are not too slow for it. Otherwise it may preempt there, or it is held back.
   * Returns false if it cannot fit there even when they are empty.
   */
  #decideFastOnly(unit: RankedUnit, unrestricted: RankedUnit): boolean {
    const upstreamIds = chooseUpstreams(unit, this.#allocations)
    if (upstreamIds.length === 0 && !canFitWhenEmpty(unit, this.#allocations)) return false
    if (upstreamIds.length > 0) this.#place(unit, upstreamIds)
    else this.#leftWaiting.push(unit)
    if (upstreamIds.length === unit.waiting.length) return true
    const rest = { ...unit, waiting: unit.waiting.slice(upstreamIds.length) }
    this.#speedPlacement.noteHeld(rest)
    this.#preemptForSpeed(rest, { ...unrestricted, waiting: rest.waiting })
    return true
  }

  /**
   * The guarantee is for capacity and not for its speed, so while slow upstreams have room, guaranteed work may preempt on
   * others only what any urgent work may.
   */
  #preemptForSpeed(unit: RankedUnit, unrestricted: RankedUnit): void {
    const hasRoomElsewhere = (): boolean =>
      chooseUpstreams(unrestricted, this.#allocations).length > 0
    if (!unit.isGuaranteed || !hasRoomElsewhere()) this.#preemptFor(unit)
    else if (++this.#speedSearches <= urgentSearchesMax)
      this.#preemptFor(unit, measureWaitingWork(unit))
  }

  finish(): RoundDecision {
    const { placements, preemptions } = this
    const startedJobIds = new Set(placements.map(({ jobId }) => jobId))
    const starving = listStarvingUnits({
      leftWaiting: this.#leftWaiting,
      startedJobIds,
      allocations: this.#allocations,
      listEvacuated: () => this.#view.evacuated,
    })
    const speed = this.#speedPlacement.finish()
    const decision = { placements, preemptions, starving, ...(speed !== undefined && { speed }) }
    if (this.#view.headroom === undefined) return decision
    return { ...decision, heldBack: this.#headroom.heldBack }
  }

  #chooseUpstreams(unit: RankedUnit): readonly string[] {
    const upstreamIds = chooseUpstreams(unit, this.#allocations)
    // On other upstreams a trial is less conclusive, but the unit does not wait for a suitable one.
    if (upstreamIds.length === 0 && unit.isOnTrial) {
      return this.#chooseUpstreams({ ...unit, isOnTrial: false })
    }
    if (upstreamIds.length > 0) return upstreamIds
    if (mayClaimAnyRack(unit, this.#view.claimBounds)) {
      const inAnyRack = chooseUpstreams(toAnyRack(unit), this.#allocations)
      if (inAnyRack.length > 0) return inAnyRack
    }
    return this.#chooseRelaxed(unit)
  }

  /** Returns an empty list unless the unit has waited for longer than its preferences are worth. */
  #chooseRelaxed(unit: RankedUnit): readonly string[] {
    const { job, stepNumber } = unit
    const starvedMs = this.#view.starvedMs({ jobId: job.request.jobId, step: stepNumber })
    if (starvedMs >= preferenceWaitMaxMs) {
      return chooseRelaxed(unit, this.#allocations)?.upstreamIds ?? []
    }
    if (!isPastGrace(unit, this.#allocations)) return []
    return chooseRelaxed(unit, this.#allocations, ownPreferences)?.upstreamIds ?? []
  }

  /** Preempts or reserves capacity for the tasks that did not fit. */
  #handleUnplaced(unit: RankedUnit): void {
    if (this.#preemptFor(unit)) return
    if (unit.isOverdue) this.#reserve(unit)
  }

  /** Called only for the overdue gang: capacity kept idle for other gangs would delay more jobs than it helps. */
  #reserve(unit: RankedUnit): void {
    const runs = [...this.#view.runs, ...this.#started]
    runs.sort((left, right) => left.expectedEndMs - right.expectedEndMs)
    reserveForGang({ unit, allocations: this.#allocations, runs })
  }

  #place(unit: RankedUnit, upstreamIds: readonly string[]): void {
    this.#allocations.place(upstreamIds, unit.step)
    if (unit.isOnTrial) this.#allocations.blockStarts(upstreamIds)
    const placed = createPlacements(unit, upstreamIds)
    addAll(this.placements, placed)
    const estimateEndMs = this.#allocations.estimateEnds(upstreamIds, unit.step)
    const { needs } = unit.step
    for (const placement of placed) {
      const expectedEndMs = estimateEndMs(placement.upstreamId)
      const run = { placement, needs, expectedEndMs, stopCostCoreSeconds: 0, isStopping: false }
      this.#started.push(run)
    }
    this.#speedPlacement.notePlaced(unit, upstreamIds)
  }

  /**
   * Allocates capacity that stopping runs will release, and preempts more runs if that is too little. Returns false
   * if the unit may preempt nothing or the permitted preemptions do not free enough.
   */
  #preemptFor(unit: RankedUnit, costMaxCoreSeconds = computeStopCostLimit(unit)): boolean {
    if (costMaxCoreSeconds === 0) return false
    if (!unit.isGuaranteed && ++this.#urgentSearches > urgentSearchesMax) return false
    const victims = (this.#victims ??= this.#indexVictims())
    const search = { allocations: this.#allocations, victims, costMaxCoreSeconds }
    const choice =
      chooseVictims({ ...search, unit }) ??
      (mayClaimAnyRack(unit, this.#view.claimBounds)
        ? chooseVictims({ ...search, unit: toAnyRack(unit) })
        : undefined)
    if (choice === undefined) return false
    if (choice.victims.length > 0) this.#victims = victims.without(choice.victims)
    for (const group of choice.victims) this.#preempt(group, unit)
    this.#allocations.allocate(choice.upstreamIds, unit.step)
    return true
  }

  #indexVictims(): VictimIndex {
    return new VictimIndex(listVictimGroups(this.#view, this.#guaranteed))
  }

  #preempt({ runs, needs, costCoreSeconds }: VictimGroup, { job, isGuaranteed }: RankedUnit): void {
    const forJobId = job.request.jobId
    const lostCoreSeconds = costCoreSeconds / runs.length
    for (const run of runs) {
      this.preemptions.push({ run, forJobId, isGuaranteed, lostCoreSeconds })
      this.#allocations.releaseAfterStop(run.upstreamId, needs)
    }
  }
}
