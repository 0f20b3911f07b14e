/** What a round knows of the capacity that has to stay free for urgent work. */
import type { UnitRef } from '@nettlespur/batch.model'
import type { ExpectedClaims } from './expectedClaims.js'

/** The demand and the held-back units of earlier rounds; see `HeadroomWatch`. */
export interface HeadroomView {
  /** Returns undefined if nothing has to stay free in the pool. */
  readonly expect: (pool: string) => ExpectedClaims | undefined
  /** How long ago the unit was first held back after its last start; 0 if it has not been held back since. */
  readonly heldBackMs: (unit: UnitRef) => number
}
