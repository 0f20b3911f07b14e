/** Claims that a member leads which a call to it has refuted, by its answer, its failure or its silence. */
import type { LeaderClaim } from './leaderSearch.js'

export class RefutedClaims {
  /** The newest term in which each member was found not to lead, by address. */
  readonly #terms = new Map<string, number>()

  /** `term` is that of the claim; 0 if it is unknown. */
  add(address: string, term = 0): void {
    this.#terms.set(address, Math.max(term, this.#terms.get(address) ?? 0))
  }

  /** Whether the member was found not to lead in the claim's term or a later one. */
  has({ address, term }: LeaderClaim): boolean {
    const refutedTerm = this.#terms.get(address)
    return refutedTerm !== undefined && refutedTerm >= term
  }

  /** Whether the member was ever found not to lead. */
  hasAddress(address: string): boolean {
    return this.#terms.has(address)
  }
}
