/**
 * Amounts of divisible work over slots of time, each with its room. What is admitted stays so, but may be moved among
 * its slots to make place for more. Slots are the nodes of a search: room is found in a free slot, or in one from which
 * admitted work can be moved on.
 */

export interface Work {
  readonly fromSlot: number
  /** The first slot in which it may not be done. */
  readonly toSlot: number
  /** The first of a second span of slots, as long as the first one; no second span by default. */
  readonly otherFromSlot?: number
  readonly amount: number
}

interface Admitted extends Work {
  /** Done in each slot. */
  readonly done: number[]
}

interface Step {
  readonly slot: number
  /** Whose work is moved here, and from where; the newcomer's own where there is no former slot. */
  readonly work: Admitted
  readonly before: Step | undefined
}

const least = 1e-9

export class WorkSlots {
  readonly #free: number[]
  readonly #admitted: Admitted[] = []

  constructor(room: readonly number[]) {
    this.#free = [...room]
  }

  /** As much of it as fits beside what is admitted already; gives that amount. */
  admit(work: Work): number {
    const fresh: Admitted = { ...work, done: this.#free.map(() => 0) }
    this.#admitted.push(fresh)
    let left = work.amount
    while (left > least) {
      const path = this.#findPath(fresh)
      if (path === undefined) break
      left -= this.#move(path, left)
    }
    return work.amount - left
  }

  /** To a slot with room, over as few moves as possible. */
  #findPath(fresh: Admitted): Step | undefined {
    const seen = new Set<number>()
    let steps = this.#listSlots(fresh, seen, undefined)
    while (steps.length > 0) {
      const end = steps.find(({ slot }) => (this.#free[slot] ?? 0) > least)
      if (end !== undefined) return end
      steps = steps.flatMap((step) =>
        this.#admitted
          .filter(({ done }) => (done[step.slot] ?? 0) > least)
          .flatMap((work) => this.#listSlots(work, seen, step)),
      )
    }
    return undefined
  }

  #listSlots(work: Admitted, seen: Set<number>, before: Step | undefined): Step[] {
    const { fromSlot, otherFromSlot } = work
    const steps: Step[] = []
    const endSlot = Math.min(work.toSlot, this.#free.length)
    const add = (slot: number): void => {
      if (seen.has(slot)) return
      seen.add(slot)
      steps.push({ slot, work, before })
    }
    for (let slot = fromSlot; slot < endSlot; slot++) {
      add(slot)
      if (otherFromSlot !== undefined) add(otherFromSlot + slot - fromSlot)
    }
    return steps
  }

  #move(end: Step, wanted: number): number {
    let amount = Math.min(wanted, this.#free[end.slot] ?? 0)
    for (let step = end; step.before !== undefined; step = step.before) {
      amount = Math.min(amount, step.work.done[step.before.slot] ?? 0)
    }
    this.#free[end.slot] = (this.#free[end.slot] ?? 0) - amount
    for (let step: Step | undefined = end; step !== undefined; step = step.before) {
      const { done } = step.work
      done[step.slot] = (done[step.slot] ?? 0) + amount
      if (step.before !== undefined) done[step.before.slot] = (done[step.before.slot] ?? 0) - amount
    }
    return amount
  }
}
