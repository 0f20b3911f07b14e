/**
 * What members have answered so far to the question who leads, and whether more answers could change it. A member's
 * own word goes before what others say of it: one that has stepped down is still named by those that it led.
 */
import type { LeaderView } from './batchApi.js'

/** That a member leads in a term, by its own word or another's. */
export interface LeaderClaim {
  readonly address: string
  readonly term: number
  readonly isSelfClaim: boolean
}

export class LeaderSearch {
  readonly #asked: readonly string[]
  readonly #views = new Map<string, LeaderView>()

  constructor(asked: readonly string[]) {
    this.#asked = asked
  }

  addView(address: string, view: LeaderView): void {
    this.#views.set(address, view)
  }

  /**
   * The leader of the newest term says so itself, and a majority of all that were asked or are its members
   * knows of no later term: a later leader would have had to be elected by one of them.
   */
  get isDecided(): boolean {
    const views = [...this.#views]
    const newestTerm = Math.max(...views.map(([, { term }]) => term))
    const leader = views.find(([address, { leaderAddress, term }]) => {
      return leaderAddress === address && term === newestTerm
    })
    if (leader === undefined) return false
    const all = new Set([...this.#asked, ...leader[1].memberAddresses])
    return views.length > all.size / 2
  }

  /** More than half of those that were asked have answered. */
  get hasMajority(): boolean {
    return this.#views.size > this.#asked.length / 2
  }

  get isUnanswered(): boolean {
    return this.#views.size === 0
  }

  /** Named by the newest term that names one and was not refuted; `isRefuted` knows of earlier searches and calls. */
  findLeader(isRefuted: (claim: LeaderClaim) => boolean): LeaderClaim | undefined {
    const claims = [...this.#views].flatMap(([by, { leaderAddress: address, term }]) =>
      address === undefined ? [] : [{ address, term, isSelfClaim: by === address }],
    )
    const validClaims = claims.filter(
      (claim) => claim.isSelfClaim || !(this.#isDenied(claim) || isRefuted(claim)),
    )
    validClaims.sort(
      (left, right) =>
        right.term - left.term || Number(right.isSelfClaim) - Number(left.isSelfClaim),
    )
    return validClaims[0]
  }

  /** The member that is named has answered by itself, in that term or a later one, and does not say that it leads. */
  #isDenied({ address, term }: LeaderClaim): boolean {
    const own = this.#views.get(address)
    return own !== undefined && own.leaderAddress !== address && own.term >= term
  }

  get memberAddresses(): string[] {
    return [...new Set([...this.#views.values()].flatMap(({ memberAddresses }) => memberAddresses))]
  }

  /** For the log. */
  describe(): string {
    const silent = this.#asked.filter((address) => !this.#views.has(address))
    const heard = `${this.#views.size} of ${this.#asked.length} members answered`
    return silent.length === 0 ? heard : `${heard}, not yet ${silent.join(' ')}`
  }
}
