/** The last announcement of each upstream, held in the leader's memory; a new leader learns it from the next ones. */
import { getAnnouncedId, type Announcement } from '@nettlespur/batch.model'

interface LastAnnouncement {
  readonly sequence: number
  readonly heardAtMs: number
  readonly address: string
  readonly announcedId: string
  /** The upstream stays at least until then, on this member's clock. Undefined unless it is about to leave. */
  readonly leavesAtMs: number | undefined
  /** When it is warm, on this member's clock. */
  readonly warmAtMs: number
}

export interface LeavingUpstream {
  readonly upstreamId: string
  /** The upstream stays at least until then, on this member's clock. */
  readonly leavesAtMs: number
}

export class AnnouncementTable {
  readonly #lastByUpstream = new Map<string, LastAnnouncement>()
  /** The upstream that announced itself last, by address. */
  readonly #newestByAddress = new Map<string, string>()

  /** Returns false, and changes nothing, if a newer announcement of the upstream has arrived before. */
  record(announcement: Announcement, nowMs: number): boolean {
    const { upstreamId, sequence, address, drainRemainingMs } = announcement
    const warmAtMs = nowMs + (announcement.coldRemainingMs ?? 0)
    const known = this.#lastByUpstream.get(upstreamId)
    if (known !== undefined && sequence <= known.sequence) return false
    this.#newestByAddress.set(address, upstreamId)
    const leavesAtMs = drainRemainingMs === undefined ? undefined : nowMs + drainRemainingMs
    const announcedId = getAnnouncedId(announcement)
    const last = { sequence, heardAtMs: nowMs, address, announcedId, leavesAtMs, warmAtMs }
    this.#lastByUpstream.set(upstreamId, last)
    return true
  }

  /** When the upstream last announced itself; -Infinity if it has not under this leader. */
  heardAtMs(upstreamId: string): number {
    return this.#lastByUpstream.get(upstreamId)?.heardAtMs ?? -Infinity
  }

  /** Whether the upstream has announced that it is slow until later than `nowMs`. */
  isCold(upstreamId: string, nowMs: number): boolean {
    return (this.#lastByUpstream.get(upstreamId)?.warmAtMs ?? nowMs) > nowMs
  }

  /** Upstreams that have announced until when they stay. */
  listLeaving(): LeavingUpstream[] {
    return [...this.#lastByUpstream].flatMap(([upstreamId, { leavesAtMs }]) =>
      leavesAtMs === undefined ? [] : [{ upstreamId, leavesAtMs }],
    )
  }

  /**
   * Whether a later process has announced itself at the same address. Of processes with the same announced id the
   * announcements do not tell: the older may come late, and only what answers at the address shows which one is there.
   */
  isReplaced(upstreamId: string): boolean {
    const last = this.#lastByUpstream.get(upstreamId)
    if (last === undefined) return false
    // Undefined once the newest was forgotten: that was an earlier process whose announcement came late, and
    // `upstreamId` has replaced it.
    const newest = this.#newestByAddress.get(last.address)
    if (newest === undefined || newest === upstreamId) return false
    const { announcedId = newest } = this.#lastByUpstream.get(newest) ?? {}
    return announcedId !== last.announcedId
  }

  forget(upstreamId: string): void {
    const address = this.#lastByUpstream.get(upstreamId)?.address
    this.#lastByUpstream.delete(upstreamId)
    if (address !== undefined && this.#newestByAddress.get(address) === upstreamId) {
      this.#newestByAddress.delete(address)
    }
  }
}
