/** The evacuations in the replicated state, one for each data centre that a change was ever made for. */
import {
  createUnchangedEvacuation,
  type Evacuation,
  type EvacuationChange,
} from '@nettlespur/batch.model'
import type { CommandOutcome } from './command.js'

export class EvacuationTable {
  readonly #byDataCentre: Map<string, Evacuation>

  constructor(evacuations: readonly Evacuation[]) {
    this.#byDataCentre = new Map(evacuations.map((one) => [one.dataCentre, one]))
  }

  list(): Evacuation[] {
    return [...this.#byDataCentre.values()]
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
  change({ dataCentre, isInForce, expectedRevision }: EvacuationChange): CommandOutcome {
    const known = this.find(dataCentre)
    const isChanged = known.isInForce !== isInForce
    if (isChanged && known.revision !== expectedRevision) return 'stale-revision'
    this.#byDataCentre.set(dataCentre, { dataCentre, isInForce, revision: known.revision + 1 })
    return isChanged ? 'done' : 'unchanged'
  }
}
