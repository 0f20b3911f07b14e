/**
 * One round of decisions. Units come in their order of rank; each takes its room from what the ones before
 * left. Guaranteed and urgent work that does not fit may have others stopped, and their room is kept for it meanwhile.
 */
import type { Placement } from '@nettlespur/batch.state'
import { choosePlaces } from './choosePlaces.js'
import { chooseVictims } from './chooseVictims.js'
import { limitStopCost } from './limitStopCost.js'
import { listGuaranteed } from './listGuaranteed.js'
import { listVictimGroups, type VictimGroup } from './listVictimGroups.js'
import { orderUnits, type RankedUnit } from './orderUnits.js'
import { putOverdueFirst } from './putOverdueFirst.js'
import { reserveGang } from './reserveGang.js'
import { RoomBook } from './roomBook.js'
import type { ActiveRun, Preemption, RoundDecision, SchedulerView } from './schedulerView.js'
import { placeUnit } from './startUnit.js'
import { VictimIndex } from './victimIndex.js'

/**
 * Urgent units beyond their guarantee for which a round looks for something to stop, the first in rank. Each look goes
 * over all that runs, so without a bound a crowded round would take times as long.
 */
const urgentLooksMax = 3

export function planRound(view: SchedulerView): RoundDecision {
  const guaranteed = listGuaranteed(view.jobs, view.guarantees)
  const book = new RoomBook(view.rooms, view.nowMs)
  const round = new Round(view, guaranteed, book)
  for (const unit of putOverdueFirst(orderUnits(view, guaranteed), book)) round.decide(unit)
  return { placements: round.placements, preemptions: round.preemptions }
}

class Round {
  readonly placements: Placement[] = []
  readonly preemptions: Preemption[] = []
  readonly #book: RoomBook
  readonly #started: ActiveRun[] = []
  readonly #view: SchedulerView
  readonly #guaranteed: ReadonlySet<string>
  /** What may be stopped; listed when first needed. */
  #victims: VictimIndex | undefined
  #urgentLooks = 0

  constructor(view: SchedulerView, guaranteed: ReadonlySet<string>, book: RoomBook) {
    this.#view = view
    this.#guaranteed = guaranteed
    this.#book = book
  }

  decide(unit: RankedUnit): void {
    const places = this.#choosePlaces(unit)
    if (places.length > 0) this.#place(unit, places)
    if (places.length < unit.waiting.length) {
      // Room that is made for a start on trial may be anywhere: what is stopped there is gone by then.
      this.#decideRest({ ...unit, waiting: unit.waiting.slice(places.length), isOnTrial: false })
    }
  }

  #choosePlaces(unit: RankedUnit): string[] {
    const places = choosePlaces(unit, this.#book)
    // Without a quiet upstream a trial says less, but nobody is held up for it.
    if (places.length === 0 && unit.isOnTrial) {
      return this.#choosePlaces({ ...unit, isOnTrial: false })
    }
    if (places.length > 0 || !unit.maySpread) return places
    return choosePlaces({ ...unit, step: { ...unit.step, prefersOneRack: false } }, this.#book)
  }

  /** For what did not fit. */
  #decideRest(unit: RankedUnit): void {
    if (this.#makeRoom(unit)) return
    if (unit.isOverdue) this.#reserve(unit)
  }

  /** Only for the gang that is overdue: room kept idle for others leaves more jobs with nothing than it serves. */
  #reserve(unit: RankedUnit): void {
    const runs = [...this.#view.runs, ...this.#started]
    runs.sort((left, right) => left.expectedEndMs - right.expectedEndMs)
    reserveGang({ unit, book: this.#book, runs })
  }

  #toRun({ step }: RankedUnit, placement: Placement): ActiveRun {
    return {
      placement,
      needs: step.needs,
      expectedEndMs: this.#book.endOf(step),
      stopCostCoreSeconds: 0,
      isStopping: false,
    }
  }

  #place(unit: RankedUnit, places: readonly string[]): void {
    this.#book.take(places, unit.step)
    if (unit.isOnTrial) this.#book.close(places)
    const placed = placeUnit(unit, places)
    this.placements.push(...placed)
    this.#started.push(...placed.map((placement) => this.#toRun(unit, placement)))
  }

  /** Keeps what is being freed for the unit, and has more stopped where that is too little; false where nothing would do. */
  #makeRoom(unit: RankedUnit): boolean {
    const costMaxCoreSeconds = limitStopCost(unit)
    if (costMaxCoreSeconds === 0) return false
    if (!unit.isGuaranteed && ++this.#urgentLooks > urgentLooksMax) return false
    const victims = (this.#victims ??= this.#indexVictims())
    const choice = chooseVictims({ unit, book: this.#book, victims, costMaxCoreSeconds })
    if (choice === undefined) return false
    if (choice.victims.length > 0) this.#victims = victims.without(choice.victims)
    for (const group of choice.victims) this.#stop(group, unit)
    this.#book.take(choice.places, unit.step)
    return true
  }

  #indexVictims(): VictimIndex {
    return new VictimIndex(listVictimGroups(this.#view, this.#guaranteed))
  }

  #stop({ runs, needs, costCoreSeconds }: VictimGroup, { job, isGuaranteed }: RankedUnit): void {
    const forJobId = job.request.jobId
    const lostCoreSeconds = costCoreSeconds / runs.length
    for (const run of runs) {
      this.preemptions.push({ run, forJobId, isGuaranteed, lostCoreSeconds })
      this.#book.giveBackSoon(run.upstreamId, needs)
    }
  }
}
