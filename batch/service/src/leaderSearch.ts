/** What members have answered so far to the question who leads, and whether more answers could change it. */
import type { LeaderView } from './batchApi.js'

export class LeaderSearch {
  readonly #asked: readonly string[]
  readonly #views = new Map<string, LeaderView>()

  constructor(asked: readonly string[]) {
    this.#asked = asked
  }

  note(address: string, view: LeaderView): void {
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

  get isUnanswered(): boolean {
    return this.#views.size === 0
  }

  /** Named by the newest term that names one. */
  get leaderAddress(): string | undefined {
    const naming = [...this.#views.values()].filter(
      ({ leaderAddress }) => leaderAddress !== undefined,
    )
    naming.sort((left, right) => right.term - left.term)
    return naming[0]?.leaderAddress
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
