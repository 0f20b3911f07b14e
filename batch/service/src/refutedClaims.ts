/** Claims that a member leads which a call or its silence has shown to be wrong. */
import type { LeaderClaim } from './leaderSearch.js'

export class RefutedClaims {
  /** By address, the newest term in which the member was found not to lead. */
  readonly #terms = new Map<string, number>()

  /** `term` is that of the claim, where a member named it with one. */
  add(address: string, term = 0): void {
    this.#terms.set(address, Math.max(term, this.#terms.get(address) ?? 0))
  }

  /** Whether it was refuted in that term or a later one. */
  has({ address, term }: LeaderClaim): boolean {
    const refutedTerm = this.#terms.get(address)
    return refutedTerm !== undefined && refutedTerm >= term
  }

  /** Whether the member was ever found not to lead. */
  hasAddress(address: string): boolean {
    return this.#terms.has(address)
  }
}
