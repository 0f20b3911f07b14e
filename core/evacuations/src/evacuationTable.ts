/** The evacuations in the replicated state, one for each data centre that a change was ever made for. */
import { createUnchangedEvacuation, type Evacuation, type EvacuationChange } from './evacuation.js'

export const evacuationOutcomes = [
  'done',
  /** The order asks for what is in force already. */
  'unchanged',
  /** Refused: another order was accepted after this one was made. */
  'stale-revision',
] as const
export type EvacuationOutcome = (typeof evacuationOutcomes)[number]

export class EvacuationTable {
  readonly #byDataCentre: Map<string, Evacuation>

  constructor(evacuations: readonly Evacuation[]) {
    this.#byDataCentre = new Map(evacuations.map((one) => [one.dataCentre, one]))
  }

  list(): Evacuation[] {
    return [...this.#byDataCentre.values()]
  }

  isInForce(dataCentre: string): boolean {
    return this.find(dataCentre).isInForce
  }

  /** Data centres in which nothing may start. */
  listInForce(): string[] {
    return this.list().flatMap(({ dataCentre, isInForce }) => (isInForce ? [dataCentre] : []))
  }

  find(dataCentre: string): Evacuation {
    return this.#byDataCentre.get(dataCentre) ?? createUnchangedEvacuation(dataCentre)
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
