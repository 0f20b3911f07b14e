/** The upstreams as one leader knows them: who was heard, who can be given work, and the session with each. */
import type { Announcement } from '@nettlespur/batch.model'
import { UpstreamSession, type SessionHost, type UpstreamPort } from '@nettlespur/batch.sessions'
import type { BatchState, UpstreamRecord } from '@nettlespur/batch.state'
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import type { BatchTimings } from './batchTimings.js'
import { UpstreamHealth } from './upstreamHealth.js'
import { AnnouncementTable, type LeavingUpstream } from './announcementTable.js'

/** Announcements that may be missed before an upstream gets no new work. */
const missedAnnouncements = 3
/** After a call without an answer an upstream gets no new work for this long, and until it is heard again. */
const silentPauseMs = 2000
/** An upstream whose looks hid a run gets no new work for this long: longer than the lease that then ends the run. */
const unlistedPauseMs = 30_000
/** Upstreams that live answer well within it; those that do not hold up the others no longer. */
const takeoverWaitMs = 300

export interface UpstreamRosterOptions {
  host: SessionHost
  clock: Clock
  logger: Logger
  port: UpstreamPort
  timings: BatchTimings
  /** Ends the sessions. */
  signal: AbortSignal
}

export class UpstreamRoster {
  readonly health = new UpstreamHealth()
  readonly #opts: UpstreamRosterOptions
  readonly #takeoverAtMs: number
  readonly #sessions = new Map<string, UpstreamSession>()
  readonly #table = new AnnouncementTable()

  constructor(opts: UpstreamRosterOptions) {
    this.#opts = opts
    this.#takeoverAtMs = opts.clock.monotonicMs()
  }

  get sessions(): Iterable<UpstreamSession> {
    return this.#sessions.values()
  }

  findSession(upstreamId: string): UpstreamSession | undefined {
    return this.#sessions.get(upstreamId)
  }

  /**
   * Takes up what earlier leaders placed, and asks the idle upstreams too: otherwise none could be used before its next
   * announcement, which may be seconds away while its sender still tries the former leader. Resolves once all have
   * answered or been given up, or time is up: a decision that sees a part of them would stop work for room that is there.
   */
  async takeOver({ upstreams, placements }: BatchState): Promise<void> {
    const holders = new Set(placements.upstreamIds)
    const idle = [...upstreams.values()].filter(({ description, isDraining, hasLeft }) => {
      return !isDraining && !hasLeft && !holders.has(description.upstreamId)
    })
    for (const upstreamId of holders) this.#openSession(upstreamId, this.#takeoverAtMs)?.resume()
    for (const { description } of idle) this.openSession(description.upstreamId)?.greet()
    const answered = [...this.sessions].map(({ answers }) => answers.first)
    const { clock, signal } = this.#opts
    await Promise.race([Promise.all(answered), clock.sleep(takeoverWaitMs, signal)])
  }

  /** The session with an upstream; undefined where the state does not know it. */
  openSession(upstreamId: string): UpstreamSession | undefined {
    return this.#openSession(upstreamId, undefined)
  }

  #openSession(upstreamId: string, takeoverMs: number | undefined): UpstreamSession | undefined {
    const known = this.#sessions.get(upstreamId)
    if (known !== undefined) return known
    const { host, clock, logger, port, timings, signal } = this.#opts
    const upstream = host.findUpstream(upstreamId)
    if (upstream === undefined) return undefined
    const session = new UpstreamSession({
      target: { upstreamId, address: upstream.description.address },
      port,
      host,
      clock,
      logger,
      timings: timings.session,
      takeoverMs,
      signal,
    })
    this.#sessions.set(upstreamId, session)
    return session
  }

  /** False for an announcement that came after a newer one. */
  recordAnnouncement(announcement: Announcement): boolean {
    return this.#table.record(announcement, this.#opts.clock.monotonicMs())
  }

  /** To be called once the state knows the upstream. */
  recordClock({ upstreamId, clockMs }: Announcement): void {
    this.openSession(upstreamId)?.lease.clock.note(clockMs, this.#opts.clock.monotonicMs())
  }

  /** Upstreams that have said until when they stay. */
  listLeaving(): LeavingUpstream[] {
    return this.#table.listLeaving()
  }

  forget(upstreamId: string): void {
    this.#sessions.delete(upstreamId)
    this.#table.forget(upstreamId)
  }

  countUsable({ upstreams }: BatchState): number {
    return [...upstreams.values()].filter((upstream) => this.isUsable(upstream)).length
  }

  /** Whether what starts there would be the only one to blame for a crash. */
  isQuiet({ description: { upstreamId, address } }: UpstreamRecord): boolean {
    if (this.health.hasCrashedLately(address, this.#opts.clock.monotonicMs())) return false
    return this.#sessions.get(upstreamId)?.tracks.hasUnproven !== true
  }

  /**
   * It refused a start for want of room or health and has not announced itself since: what is known of it is out of date.
   * Asked again at once it would refuse again, as fast as commits go.
   */
  #isRefusing(upstreamId: string, refusedAtMs: number): boolean {
    if (this.#table.heardAtMs(upstreamId) > refusedAtMs) return false
    const { clock, timings } = this.#opts
    return clock.monotonicMs() - refusedAtMs < timings.announceEveryMs
  }

  /** Whether new work may go there. */
  isUsable({ description: { upstreamId }, isDraining, hasLeft }: UpstreamRecord): boolean {
    if (isDraining || hasLeft || this.#table.isReplaced(upstreamId)) return false
    const nowMs = this.#opts.clock.monotonicMs()
    const session = this.#sessions.get(upstreamId)
    if (session?.lease.clock.isKnown !== true) return false
    const { answers } = session
    // Its first answer counts as an announcement. Later ones do not: one that no longer announces itself may be leaving.
    const heardAtMs = Math.max(this.#table.heardAtMs(upstreamId), answers.firstAnswerAtMs)
    const { announceEveryMs } = this.#opts.timings
    if (nowMs - heardAtMs > announceEveryMs * missedAnnouncements) return false
    if (nowMs - session.tracks.unlistedAtMs < unlistedPauseMs) return false
    if (this.#isRefusing(upstreamId, answers.refusedAtMs)) return false
    if (answers.unanswered > 0) {
      const { unansweredAtMs } = answers
      if (heardAtMs <= unansweredAtMs || nowMs - unansweredAtMs < silentPauseMs) return false
    }
    return !this.health.isQuarantined(upstreamId, nowMs)
  }
}
