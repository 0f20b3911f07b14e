/**
 * Orders or withdraws the evacuation of a data centre. The order is tied to the revision that is current as it arrives: a
 * copy of it that is delayed on its way to the leader is refused once another change has been made.
 */
import { NettlespurError } from '@nettlespur/core.errors'
import type { Evacuation } from '@nettlespur/batch.model'
import { EitherAsync, Left } from 'purify-ts'
import type { BatchApi } from './batchApi.js'
import type { CallerWait } from './callerWait.js'

export type EvacuationOrder = Pick<Evacuation, 'dataCentre' | 'isInForce'>

/** Resolves once the order is stored, or if it is in force already. Errors: `unknown-data-centre`, `overtaken`. */
export function orderEvacuation(
  api: BatchApi,
  order: EvacuationOrder,
  wait: CallerWait = {},
): EitherAsync<NettlespurError, null> {
  const { dataCentre } = order
  return api.listEvacuations(wait).chain((evacuations) => {
    const current = evacuations.find((one) => one.dataCentre === dataCentre)
    return current === undefined
      ? EitherAsync.liftEither(Left(createUnknownError(dataCentre, evacuations)))
      : api.changeEvacuation({ ...order, expectedRevision: current.revision }, wait)
  })
}

function createUnknownError(
  dataCentre: string,
  evacuations: readonly Evacuation[],
): NettlespurError {
  const known = evacuations.map((one) => one.dataCentre).join(', ')
  return new NettlespurError('unknown-data-centre', `no data centre ${dataCentre}; known: ${known}`)
}
