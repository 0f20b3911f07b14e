/** What the leader remembers of announcements. It is lost with the leadership and soon heard again. */
import type { Announcement } from '@nettlespur/batch.model'

interface Heard {
  readonly sequence: number
  readonly heardAtMs: number
  readonly address: string
  /** On our clock: until then it stays at least. Undefined unless it is about to leave. */
  readonly leavesAtMs: number | undefined
}

export interface LeavingUpstream {
  readonly upstreamId: string
  /** On our clock: until then it stays at least. */
  readonly leavesAtMs: number
}

export class UpstreamTable {
  readonly #heard = new Map<string, Heard>()
  /** The life that was first heard last at each address. */
  readonly #newestAt = new Map<string, string>()

  /** False for an announcement that came after a newer one. */
  note(announcement: Announcement, nowMs: number): boolean {
    const { upstreamId, sequence, address, drainRemainingMs } = announcement
    const known = this.#heard.get(upstreamId)
    if (known !== undefined && sequence <= known.sequence) return false
    if (known === undefined) this.#newestAt.set(address, upstreamId)
    const leavesAtMs = drainRemainingMs === undefined ? undefined : nowMs + drainRemainingMs
    this.#heard.set(upstreamId, { sequence, heardAtMs: nowMs, address, leavesAtMs })
    return true
  }

  /** -Infinity where it was not heard under this leader. */
  heardAtMs(upstreamId: string): number {
    return this.#heard.get(upstreamId)?.heardAtMs ?? -Infinity
  }

  /** Upstreams that have said until when they stay. */
  listLeaving(): LeavingUpstream[] {
    return [...this.#heard].flatMap(([upstreamId, { leavesAtMs }]) =>
      leavesAtMs === undefined ? [] : [{ upstreamId, leavesAtMs }],
    )
  }

  /** A later life of the process has announced itself at the same address. */
  isReplaced(upstreamId: string): boolean {
    const address = this.#heard.get(upstreamId)?.address
    if (address === undefined) return false
    // None once the newest is gone: it was a former life whose announcement came late, and this one is the next.
    const newest = this.#newestAt.get(address)
    return newest !== undefined && newest !== upstreamId
  }

  forget(upstreamId: string): void {
    const address = this.#heard.get(upstreamId)?.address
    this.#heard.delete(upstreamId)
    if (address !== undefined && this.#newestAt.get(address) === upstreamId) {
      this.#newestAt.delete(address)
    }
  }
}
