/** The upstreams as one leader knows them: their announcements and sessions, and whether they can take new work. */
import { getAnnouncedId, type Announcement } from '@nettlespur/batch.model'
import type { UpstreamAvailability } from '@nettlespur/batch.scheduler'
import {
  type PaceWatch,
  UpstreamSession,
  type Replacement,
  type SessionHost,
  type UpstreamPort,
  type UpstreamTarget,
} from '@nettlespur/batch.sessions'
import type { BatchState, UpstreamRecord } from '@nettlespur/batch.state'
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import type { BatchTimings } from './batchTimings.js'
import { UpstreamHealth } from './upstreamHealth.js'
import { AnnouncementTable, type LeavingUpstream } from './announcementTable.js'
import { ProcessSuccession } from './processSuccession.js'
import { SessionTable } from './sessionTable.js'

/** Without an announcement for this many intervals, an upstream gets no new work. */
const missedAnnouncements = 3
/** After an unanswered call, an upstream gets no new work for this long, nor before its next announcement. */
const silentPauseMs = 2000
/** Pause in new work after a poll with unreadable rows omitted a run: longer than the lease that then ends the run. */
const unlistedPauseMs = 30_000
/** How long a takeover waits for answers. Upstreams that are up answer well within it. */
const takeoverWaitMs = 200

export interface UpstreamRosterOptions {
  host: SessionHost
  clock: Clock
  logger: Logger
  metrics: MetricsRegistry
  port: UpstreamPort
  timings: BatchTimings
  /** See `UpstreamSessionOptions`. */
  paceWatch?: PaceWatch | undefined
  /** Ends the sessions. */
  signal: AbortSignal
}

export class UpstreamRoster {
  readonly health: UpstreamHealth
  readonly #opts: UpstreamRosterOptions
  readonly #takeoverAtMs: number
  readonly #sessions = new SessionTable()
  readonly #table = new AnnouncementTable()
  readonly succession = new ProcessSuccession()

  constructor(opts: UpstreamRosterOptions) {
    this.#opts = opts
    this.health = new UpstreamHealth((notice) => {
      opts.logger.info({ event: 'upstream.unstable', ...notice })
      opts.metrics.count('upstreams_unstable_total')
    })
    this.#takeoverAtMs = opts.clock.monotonicMs()
  }

  get sessions(): Iterable<UpstreamSession> {
    return this.#sessions.all
  }

  /** Returns the session with the upstream, or with the process that has replaced it. */
  findSession(upstreamId: string): UpstreamSession | undefined {
    return this.#sessions.find(this.succession.resolve(upstreamId))
  }

  /**
   * Takes over the runs that earlier leaders placed, and polls the idle upstreams too: otherwise these could not be used
   * before their next announcements, which may be seconds away while the senders still try the former leader. Resolves
   * once each call was answered or given up, or after `takeoverWaitMs`: a round that sees only some of the upstreams
   * would preempt runs although others have free resources.
   */
  async takeOver({ upstreams, placements }: BatchState): Promise<void> {
    const holders = new Set(placements.upstreamIds)
    const idle = [...upstreams.values()].filter(({ description, isDraining, hasLeft }) => {
      return !isDraining && !hasLeft && !holders.has(description.upstreamId)
    })
    for (const upstreamId of holders) this.#openSession(upstreamId, this.#takeoverAtMs)?.resume()
    for (const { description } of idle) {
      const session = this.openSession(description.upstreamId)
      session?.pollOnce()
      session?.resume()
    }
    const answered = [...this.sessions].map(({ answers }) => answers.firstCallSettled)
    const { clock, signal } = this.#opts
    await Promise.race([Promise.all(answered), clock.sleep(takeoverWaitMs, signal)])
  }

  /** Returns the session with an upstream, opened if need be; undefined if the state does not hold the upstream. */
  openSession(upstreamId: string): UpstreamSession | undefined {
    return this.#openSession(upstreamId, undefined)
  }

  #openSession(upstreamId: string, takeoverMs: number | undefined): UpstreamSession | undefined {
    const known = this.findSession(upstreamId)
    if (known !== undefined) return known
    const upstream = this.#opts.host.findUpstream(upstreamId)
    if (upstream === undefined) return undefined
    const { announcedId, address } = upstream.description
    return this.#createSession({ upstreamId, announcedId, address }, takeoverMs)
  }

  #createSession(target: UpstreamTarget, takeoverMs: number | undefined): UpstreamSession {
    const session = new UpstreamSession({
      ...this.#opts,
      target,
      timings: this.#opts.timings.session,
      takeoverMs,
    })
    this.#sessions.add(session)
    return session
  }

  /** Passes the runs of a replaced process on to the session with the process that answers in its place. */
  replace({ target, successorId, tracks }: Replacement): void {
    const { upstreamId, address } = target
    const announcedId = getAnnouncedId(target)
    this.#noteLoss(upstreamId)
    this.#sessions.remove(upstreamId)
    this.#table.forget(upstreamId)
    const successor =
      this.findSession(successorId) ??
      this.#createSession({ upstreamId: successorId, announcedId, address }, undefined)
    this.succession.record(upstreamId, successor.target.upstreamId)
    successor.adopt(tracks)
  }

  /**
   * A process has answered a poll sent at `sentAtMs`: those known before that had its id at its address are gone. See
   * `SessionHost`.
   */
  noteAnswered(target: UpstreamTarget, sentAtMs: number): boolean {
    const { host } = this.#opts
    for (const rival of this.#sessions.listRivals(target)) {
      if (rival.isOlderThan(sentAtMs)) rival.replaceBy(target.upstreamId)
      else if (host.listPlacements(rival.target.upstreamId).size > 0) return false
    }
    return true
  }

  /** Returns false, and changes nothing, if a newer announcement of the upstream has arrived before. */
  recordAnnouncement(announcement: Announcement): boolean {
    return this.#table.record(announcement, this.#opts.clock.monotonicMs())
  }

  /** Records the upstream's clock in its session. Call it once the state holds the upstream. */
  recordClock({ upstreamId, clockMs }: Announcement): void {
    const session = this.openSession(upstreamId)
    if (session === undefined) return
    session.lease.clock.noteReading(clockMs, this.#opts.clock.monotonicMs())
    if (!session.answers.hasListed && this.#sessions.listRivals(session.target).length > 0)
      session.pollOnce()
  }

  /** Whether the upstream has started lately and is slow for a while, as it has announced. */
  isCold(upstreamId: string): boolean {
    return this.#table.isCold(upstreamId, this.#opts.clock.monotonicMs())
  }

  /** Upstreams that have announced until when they stay. */
  listLeaving(): LeavingUpstream[] {
    return this.#table.listLeaving()
  }

  forget(upstreamId: string): void {
    if (!this.succession.isReplaced(upstreamId)) this.#noteLoss(upstreamId)
    this.#sessions.remove(upstreamId)
    this.#table.forget(upstreamId)
    this.succession.forget(upstreamId)
  }

  #noteLoss(upstreamId: string): void {
    const upstream = this.#opts.host.findUpstream(upstreamId)
    if (upstream !== undefined) this.health.noteLoss(upstream, this.#opts.clock.monotonicMs())
  }

  countUsable({ upstreams }: BatchState): number {
    return [...upstreams.values()].filter((upstream) => this.isUsable(upstream)).length
  }

  /** Whether a crash could only be due to a run that starts there now: all others are proven, and no crash is recent. */
  isQuiet({ description: { upstreamId, address } }: UpstreamRecord): boolean {
    if (this.health.hasCrashedLately(address, this.#opts.clock.monotonicMs())) return false
    return this.findSession(upstreamId)?.tracks.hasUnproven !== true
  }

  /**
   * Whether the upstream refused a start for lack of resources or health and has not announced itself since, so that its
   * description is out of date. Without a pause, tasks would be placed and refused as fast as commits allow.
   */
  #isRefusing(upstreamId: string, refusedAtMs: number): boolean {
    if (this.#table.heardAtMs(upstreamId) > refusedAtMs) return false
    const { clock, timings } = this.#opts
    return clock.monotonicMs() - refusedAtMs < timings.announceEveryMs
  }

  /** Whether the upstream may get new work. */
  isUsable(upstream: UpstreamRecord): boolean {
    return this.getAvailability(upstream) === 'usable'
  }

  /** Returns undefined if the upstream drains, has left or is evacuated, so that it will get no new work. */
  getAvailability({
    description: { upstreamId },
    isDraining,
    hasLeft,
  }: UpstreamRecord): UpstreamAvailability | undefined {
    if (isDraining || hasLeft || this.#table.isReplaced(upstreamId)) return undefined
    if (this.succession.isReplaced(upstreamId) || this.#opts.host.isEvacuated(upstreamId))
      return undefined
    if (!this.#canStart(upstreamId)) return 'excluded'
    const nowMs = this.#opts.clock.monotonicMs()
    const unlistedAtMs = this.#sessions.find(upstreamId)?.tracks.unlistedAtMs ?? -Infinity
    const isSuspect =
      nowMs - unlistedAtMs < unlistedPauseMs || this.health.isQuarantined(upstreamId, nowMs)
    return isSuspect ? 'suspect' : 'usable'
  }

  /** Whether the upstream announces itself, answers calls and has not just refused a start. */
  #canStart(upstreamId: string): boolean {
    const nowMs = this.#opts.clock.monotonicMs()
    const session = this.#sessions.find(upstreamId)
    if (session?.lease.clock.hasReading !== true || this.#hasUnsettledRival(session)) return false
    const { answers } = session
    // The first answer counts as an announcement. Later ones do not: an upstream that stops announcing may be leaving.
    const heardAtMs = Math.max(this.#table.heardAtMs(upstreamId), answers.firstAnswerAtMs)
    const { announceEveryMs } = this.#opts.timings
    if (nowMs - heardAtMs > announceEveryMs * missedAnnouncements) return false
    if (this.#isRefusing(upstreamId, answers.refusedAtMs)) return false
    if (answers.unanswered === 0) return true
    const { unansweredAtMs } = answers
    return heardAtMs > unansweredAtMs && nowMs - unansweredAtMs >= silentPauseMs
  }

  /** Whether an earlier process may still hold the upstream's capacity, or it is not known yet which one is there. */
  #hasUnsettledRival({ target, answers }: UpstreamSession): boolean {
    const { host } = this.#opts
    return this.#sessions
      .listRivals(target)
      .some((rival) => !answers.hasListed || host.listPlacements(rival.target.upstreamId).size > 0)
  }
}
