/**
 * Collects the members' answers in one search for the leader, and tells whether further answers could change the result.
 * A member's own answer overrides the claims of others: former followers still name a leader that has stepped down.
 */
import { maxOf } from '@nettlespur/core.lists'
import type { LeaderView } from './batchApi.js'

/** A statement, by the member itself or by another, that a member leads in a term. */
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
   * Whether further answers cannot change the result: a member claims to lead in the newest term seen, and a majority of
   * all asked members and the members of its group has answered. A later leader would have needed a vote of one of them.
   */
  get isDecided(): boolean {
    const views = [...this.#views]
    const newestTerm = maxOf(views.map(([, { term }]) => term))
    const leader = views.find(([address, { leaderAddress, term }]) => {
      return leaderAddress === address && term === newestTerm
    })
    if (leader === undefined) return false
    const all = new Set([...this.#asked, ...leader[1].memberAddresses])
    return views.length > all.size / 2
  }

  /** Whether more than half of the asked members have answered. */
  get hasMajority(): boolean {
    return this.#views.size > this.#asked.length / 2
  }

  get isUnanswered(): boolean {
    return this.#views.size === 0
  }

  /** The claim of the newest term that is not refuted. `isRefuted` knows those refuted by earlier searches and calls. */
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

  /** Whether the named member itself has answered in that term or a later one without claiming to lead. */
  #isDenied({ address, term }: LeaderClaim): boolean {
    const own = this.#views.get(address)
    return own !== undefined && own.leaderAddress !== address && own.term >= term
  }

  get memberAddresses(): string[] {
    return [...new Set([...this.#views.values()].flatMap(({ memberAddresses }) => memberAddresses))]
  }

  /** How many members answered, and which did not, for the log. */
  describe(): string {
    const silent = this.#asked.filter((address) => !this.#views.has(address))
    const heard = `${this.#views.size} of ${this.#asked.length} members answered`
    return silent.length === 0 ? heard : `${heard}, not yet ${silent.join(' ')}`
  }
}
