/** The evacuations in the replicated state, one for each data centre that a change was ever made for. */
import type { Evacuation, EvacuationChange } from './evacuation.js'

/**
 * - `unchanged`: the order asks for what is in force already.
 * - `stale-revision`: refused, as another order was accepted after this one was made.
 */
export type EvacuationOutcome = 'done' | 'unchanged' | 'stale-revision'

export class EvacuationTable {
  readonly #byDataCentre: Map<string, Evacuation>

  constructor(evacuations: readonly Evacuation[]) {
    this.#byDataCentre = new Map(evacuations.map((one) => [one.dataCentre, one]))
  }

  list(): Evacuation[] {
    return [...this.#byDataCentre.values()]
  }

  /** Lists the evacuation of each of these data centres, and then of all others that a change was ever made for. */
  listWith(dataCentres: Iterable<string>): Evacuation[] {
    const known = new Set([...dataCentres, ...this.#byDataCentre.keys()])
    return [...known].map((dataCentre) => this.find(dataCentre))
  }

  isInForce(dataCentre: string): boolean {
    return this.#byDataCentre.get(dataCentre)?.isInForce === true
  }

  /** Data centres in which nothing may start. */
  listInForce(): string[] {
    return this.list().flatMap(({ dataCentre, isInForce }) => (isInForce ? [dataCentre] : []))
  }

  find(dataCentre: string): Evacuation {
    return this.#byDataCentre.get(dataCentre) ?? { dataCentre, isInForce: false, revision: 0 }
  }

  /**
   * A change to what is in force already is accepted whichever revision it was requested on. It counts as one all the
   * same: a copy of an earlier change may still be on its way, and must not follow a later one that was acknowledged.
   */
  change({ dataCentre, isInForce, expectedRevision }: EvacuationChange): EvacuationOutcome {
    const known = this.find(dataCentre)
    const isChanged = known.isInForce !== isInForce
    if (isChanged && known.revision !== expectedRevision) return 'stale-revision'
    this.#byDataCentre.set(dataCentre, { dataCentre, isInForce, revision: known.revision + 1 })
    return isChanged ? 'done' : 'unchanged'
  }
}
