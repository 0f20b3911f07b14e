/** Remembers the member of each upstream address for as long as the same members serve, since hashing costs time in each call. */
import { assignMember } from './assignMember.js'

/** Beyond this many addresses, all are forgotten: those of upstreams that have left are not told apart. */
const addressesMax = 20_000

export class MemberAssignment {
  readonly #byAddress = new Map<string, string | undefined>()
  #members = ''

  /** See `assignMember`. */
  find(upstreamAddress: string, memberAddresses: readonly string[]): string | undefined {
    const members = memberAddresses.join(' ')
    if (members !== this.#members || this.#byAddress.size >= addressesMax) this.#byAddress.clear()
    this.#members = members
    const known = this.#byAddress.get(upstreamAddress)
    if (known !== undefined) return known
    const member = assignMember(upstreamAddress, memberAddresses)
    this.#byAddress.set(upstreamAddress, member)
    return member
  }
}
