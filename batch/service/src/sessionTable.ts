/** One leader's sessions with upstreams, by upstream id and by address. */
import { getAnnouncedId } from '@nettlespur/batch.model'
import type { UpstreamSession, UpstreamTarget } from '@nettlespur/batch.sessions'

export class SessionTable {
  readonly #byId = new Map<string, UpstreamSession>()
  readonly #byAddress = new Map<string, Set<UpstreamSession>>()

  get all(): Iterable<UpstreamSession> {
    return this.#byId.values()
  }

  find(upstreamId: string): UpstreamSession | undefined {
    return this.#byId.get(upstreamId)
  }

  add(session: UpstreamSession): void {
    const { upstreamId, address } = session.target
    this.#byId.set(upstreamId, session)
    const there = this.#byAddress.get(address) ?? new Set()
    this.#byAddress.set(address, there.add(session))
  }

  remove(upstreamId: string): void {
    const session = this.#byId.get(upstreamId)
    if (session === undefined) return
    const { address } = session.target
    this.#byId.delete(upstreamId)
    const there = this.#byAddress.get(address)
    there?.delete(session)
    if (there?.size === 0) this.#byAddress.delete(address)
  }

  /** Lists the sessions with other processes that have announced the same id at the same address. */
  listRivals(target: UpstreamTarget): UpstreamSession[] {
    const there = this.#byAddress.get(target.address)
    if (there === undefined) return []
    return [...there].filter((session) => isRival(session.target, target))
  }
}

function isRival(one: UpstreamTarget, other: UpstreamTarget): boolean {
  return one.upstreamId !== other.upstreamId && getAnnouncedId(one) === getAnnouncedId(other)
}
