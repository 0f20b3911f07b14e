/**
 * The last announcement of each upstream, held in the leader's memory; a new leader learns it from the next ones. An
 * upstream id stands for one incarnation of a process: after a restart at the same address it has a new id.
 */
import type { Announcement } from '@nettlespur/batch.model'

interface LastAnnouncement {
  readonly sequence: number
  readonly heardAtMs: number
  readonly address: string
  /** The upstream stays at least until then, on this member's clock. Undefined unless it is about to leave. */
  readonly leavesAtMs: number | undefined
}

export interface LeavingUpstream {
  readonly upstreamId: string
  /** The upstream stays at least until then, on this member's clock. */
  readonly leavesAtMs: number
}

export class AnnouncementTable {
  readonly #lastByUpstream = new Map<string, LastAnnouncement>()
  /** The upstream whose first announcement is the latest, by address. */
  readonly #newestByAddress = new Map<string, string>()

  /** Returns false, and changes nothing, if a newer announcement of the upstream has arrived before. */
  record(announcement: Announcement, nowMs: number): boolean {
    const { upstreamId, sequence, address, drainRemainingMs } = announcement
    const known = this.#lastByUpstream.get(upstreamId)
    if (known !== undefined && sequence <= known.sequence) return false
    if (known === undefined) this.#newestByAddress.set(address, upstreamId)
    const leavesAtMs = drainRemainingMs === undefined ? undefined : nowMs + drainRemainingMs
    this.#lastByUpstream.set(upstreamId, { sequence, heardAtMs: nowMs, address, leavesAtMs })
    return true
  }

  /** When the upstream last announced itself; -Infinity if it has not under this leader. */
  heardAtMs(upstreamId: string): number {
    return this.#lastByUpstream.get(upstreamId)?.heardAtMs ?? -Infinity
  }

  /** Upstreams that have announced until when they stay. */
  listLeaving(): LeavingUpstream[] {
    return [...this.#lastByUpstream].flatMap(([upstreamId, { leavesAtMs }]) =>
      leavesAtMs === undefined ? [] : [{ upstreamId, leavesAtMs }],
    )
  }

  /** Whether a later incarnation of the process has announced itself at the same address. */
  isReplaced(upstreamId: string): boolean {
    const address = this.#lastByUpstream.get(upstreamId)?.address
    if (address === undefined) return false
    // Undefined once the newest was forgotten: that was an earlier incarnation whose announcement came late, and
    // `upstreamId` has replaced it.
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
