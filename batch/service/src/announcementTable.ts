/** What the leader remembers of announcements. It is lost with the leadership and soon heard again. */
import type { Announcement } from '@nettlespur/batch.model'

interface LastAnnouncement {
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

export class AnnouncementTable {
  readonly #lastByUpstream = new Map<string, LastAnnouncement>()
  /** The life that was first heard last at each address. */
  readonly #newestByAddress = new Map<string, string>()

  /** False for an announcement that came after a newer one. */
  record(announcement: Announcement, nowMs: number): boolean {
    const { upstreamId, sequence, address, drainRemainingMs } = announcement
    const known = this.#lastByUpstream.get(upstreamId)
    if (known !== undefined && sequence <= known.sequence) return false
    if (known === undefined) this.#newestByAddress.set(address, upstreamId)
    const leavesAtMs = drainRemainingMs === undefined ? undefined : nowMs + drainRemainingMs
    this.#lastByUpstream.set(upstreamId, { sequence, heardAtMs: nowMs, address, leavesAtMs })
    return true
  }

  /** -Infinity where it was not heard under this leader. */
  heardAtMs(upstreamId: string): number {
    return this.#lastByUpstream.get(upstreamId)?.heardAtMs ?? -Infinity
  }

  /** Upstreams that have said until when they stay. */
  listLeaving(): LeavingUpstream[] {
    return [...this.#lastByUpstream].flatMap(([upstreamId, { leavesAtMs }]) =>
      leavesAtMs === undefined ? [] : [{ upstreamId, leavesAtMs }],
    )
  }

  /** A later life of the process has announced itself at the same address. */
  isReplaced(upstreamId: string): boolean {
    const address = this.#lastByUpstream.get(upstreamId)?.address
    if (address === undefined) return false
    // None once the newest is gone: it was a former life whose announcement came late, and this one is the next.
    const newest = this.#newestByAddress.get(address)
    return newest !== undefined && newest !== upstreamId
  }

  forget(upstreamId: string): void {
    const address = this.#lastByUpstream.get(upstreamId)?.address
    this.#lastByUpstream.delete(upstreamId)
    if (address !== undefined && this.#newestByAddress.get(address) === upstreamId) {
      this.#newestByAddress.delete(address)
    }
  }
}
