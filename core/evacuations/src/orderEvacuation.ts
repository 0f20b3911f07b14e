/**
 * Orders or withdraws the evacuation of a data centre. The order is tied to the revision that is current as it arrives: a
 * copy of it that is delayed on its way to the leader is refused once another order has been accepted.
 */
import { NettlespurError } from '@nettlespur/core.errors'
import { EitherAsync, Left } from 'purify-ts'
import type { Evacuation, EvacuationChange } from './evacuation.js'

export type EvacuationOrder = Pick<Evacuation, 'dataCentre' | 'isInForce'>

/** The leader's calls. */
export interface EvacuationCalls {
  /** Every data centre that the leader knows. */
  readonly list: () => EitherAsync<NettlespurError, Evacuation[]>
  /** Errors: `overtaken` if another order was accepted since the expected revision. */
  readonly change: (change: EvacuationChange) => EitherAsync<NettlespurError, null>
}

/** Resolves once the order is stored, or if it is in force already. Errors: `unknown-data-centre`, `overtaken`. */
export function orderEvacuation(
  calls: EvacuationCalls,
  order: EvacuationOrder,
): EitherAsync<NettlespurError, null> {
  const { dataCentre } = order
  return calls.list().chain((evacuations) => {
    const current = evacuations.find((one) => one.dataCentre === dataCentre)
    return current === undefined
      ? EitherAsync.liftEither(Left(createUnknownError(dataCentre, evacuations)))
      : calls.change({ ...order, expectedRevision: current.revision })
  })
}

function createUnknownError(
  dataCentre: string,
  evacuations: readonly Evacuation[],
): NettlespurError {
  const known = evacuations.map((one) => one.dataCentre).join(', ')
  return new NettlespurError('unknown-data-centre', `no data centre ${dataCentre}; known: ${known}`)
}
