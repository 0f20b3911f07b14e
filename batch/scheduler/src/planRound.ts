/**
 * One round of decisions. Units come in their order of rank; each takes its room from what the ones before
 * left. Guaranteed and urgent work that does not fit may have others stopped, and their room is kept for it meanwhile.
 */
import type { Placement } from '@nettlespur/batch.state'
import { chooseUpstreams } from './chooseUpstreams.js'
import { chooseVictims } from './chooseVictims.js'
import { computeStopCostLimit } from './computeStopCostLimit.js'
import { listGuaranteedJobs } from './listGuaranteedJobs.js'
import { listVictimGroups, type VictimGroup } from './listVictimGroups.js'
import { orderUnits, type RankedUnit } from './orderUnits.js'
import { promoteOverdueGang } from './promoteOverdueGang.js'
import { reserveForGang } from './reserveForGang.js'
import { RoundAllocations } from './roundAllocations.js'
import type { ActiveRun, Preemption, RoundDecision, SchedulerView } from './schedulerView.js'
import { createPlacements } from './startUnit.js'
import { VictimIndex } from './victimIndex.js'

/**
 * Urgent units beyond their guarantee for which a round looks for something to stop, the first in rank. Each look goes
 * over all that runs, so without a bound a crowded round would take times as long.
 */
const urgentSearchesMax = 3

export function planRound(view: SchedulerView): RoundDecision {
  const guaranteed = listGuaranteedJobs(view.jobs, view.guarantees)
  const allocations = new RoundAllocations(view.upstreams, view.nowMs)
  const round = new Round(view, guaranteed, allocations)
  for (const unit of promoteOverdueGang(orderUnits(view, guaranteed), allocations))
    round.decide(unit)
  return { placements: round.placements, preemptions: round.preemptions }
}

class Round {
  readonly placements: Placement[] = []
  readonly preemptions: Preemption[] = []
  readonly #allocations: RoundAllocations
  readonly #started: ActiveRun[] = []
  readonly #view: SchedulerView
  readonly #guaranteed: ReadonlySet<string>
  /** What may be stopped; listed when first needed. */
  #victims: VictimIndex | undefined
  #urgentSearches = 0

  constructor(view: SchedulerView, guaranteed: ReadonlySet<string>, allocations: RoundAllocations) {
    this.#view = view
    this.#guaranteed = guaranteed
    this.#allocations = allocations
  }

  decide(unit: RankedUnit): void {
    const upstreamIds = this.#chooseUpstreams(unit)
    if (upstreamIds.length > 0) this.#place(unit, upstreamIds)
    if (upstreamIds.length < unit.waiting.length) {
      // Room that is made for a start on trial may be anywhere: what is stopped there is gone by then.
      this.#handleUnplaced({
        ...unit,
        waiting: unit.waiting.slice(upstreamIds.length),
        isOnTrial: false,
      })
    }
  }

  #chooseUpstreams(unit: RankedUnit): string[] {
    const upstreamIds = chooseUpstreams(unit, this.#allocations)
    // Without a quiet upstream a trial says less, but nobody is held up for it.
    if (upstreamIds.length === 0 && unit.isOnTrial) {
      return this.#chooseUpstreams({ ...unit, isOnTrial: false })
    }
    if (upstreamIds.length > 0 || !unit.canSpanRacks) return upstreamIds
    return chooseUpstreams(
      { ...unit, step: { ...unit.step, prefersOneRack: false } },
      this.#allocations,
    )
  }

  /** For what did not fit. */
  #handleUnplaced(unit: RankedUnit): void {
    if (this.#preemptFor(unit)) return
    if (unit.isOverdue) this.#reserve(unit)
  }

  /** Only for the gang that is overdue: room kept idle for others leaves more jobs with nothing than it serves. */
  #reserve(unit: RankedUnit): void {
    const runs = [...this.#view.runs, ...this.#started]
    runs.sort((left, right) => left.expectedEndMs - right.expectedEndMs)
    reserveForGang({ unit, allocations: this.#allocations, runs })
  }

  #toActiveRun({ step }: RankedUnit, placement: Placement): ActiveRun {
    return {
      placement,
      needs: step.needs,
      expectedEndMs: this.#allocations.estimateEndMs(step),
      stopCostCoreSeconds: 0,
      isStopping: false,
    }
  }

  #place(unit: RankedUnit, upstreamIds: readonly string[]): void {
    this.#allocations.allocate(upstreamIds, unit.step)
    if (unit.isOnTrial) this.#allocations.blockStarts(upstreamIds)
    const placed = createPlacements(unit, upstreamIds)
    this.placements.push(...placed)
    this.#started.push(...placed.map((placement) => this.#toActiveRun(unit, placement)))
  }

  /** Keeps what is being freed for the unit, and has more stopped where that is too little; false where nothing would do. */
  #preemptFor(unit: RankedUnit): boolean {
    const costMaxCoreSeconds = computeStopCostLimit(unit)
    if (costMaxCoreSeconds === 0) return false
    if (!unit.isGuaranteed && ++this.#urgentSearches > urgentSearchesMax) return false
    const victims = (this.#victims ??= this.#indexVictims())
    const choice = chooseVictims({
      unit,
      allocations: this.#allocations,
      victims,
      costMaxCoreSeconds,
    })
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
