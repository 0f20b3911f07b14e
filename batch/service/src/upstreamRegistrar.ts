/** Takes the announcements of upstreams, and commits what the replicated state has to know of them. */
import { toDescription, type Announcement, type UpstreamDescription } from '@nettlespur/batch.model'
import { isStaleAnnouncement, type BatchState, type Command } from '@nettlespur/batch.state'
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import { isDeepStrictEqual } from 'node:util'
import { RecordFaultReporter } from './recordFaultReporter.js'
import type { UpstreamRoster } from './upstreamRoster.js'

export interface UpstreamRegistrarOptions {
  clock: Clock
  logger: Logger
  metrics: MetricsRegistry
  roster: UpstreamRoster
  getState: () => BatchState
  /** Errors: rejects as proposals do. */
  propose: (command: Command) => Promise<void>
  requestRound: () => void
}

export class UpstreamRegistrar {
  readonly #opts: UpstreamRegistrarOptions
  readonly #faultReporter: RecordFaultReporter

  constructor(opts: UpstreamRegistrarOptions) {
    this.#opts = opts
    this.#faultReporter = new RecordFaultReporter(opts)
  }

  /** Resolves once the changes that the announcement brings are committed. Errors: rejects as proposals do. */
  async announce(announcement: Announcement): Promise<void> {
    const { upstreamId, isDraining, drainRemainingMs } = announcement
    const known = this.#state.upstreams.get(upstreamId)
    if (known?.hasLeft === true || !this.#isPoolKnown(announcement)) return
    if (isStaleAnnouncement(known, announcement.sequence)) {
      this.#reportStale(announcement, known?.sequence)
      return
    }
    const wasUsable = this.#isUsable(upstreamId)
    if (!this.#opts.roster.recordAnnouncement(announcement)) {
      this.#reportStale(announcement, undefined)
      return
    }
    const description = toDescription(announcement)
    if (known === undefined || !isDeepStrictEqual(known.description, description)) {
      await this.#opts.propose({
        type: 'note-upstream',
        description,
        sequence: announcement.sequence,
      })
    }
    if (known === undefined) this.#noteReturn(description)
    this.#opts.roster.recordClock(announcement)
    if (isDraining && known?.isDraining !== true) {
      this.#opts.logger.info({ event: 'upstream.draining', upstreamId, drainRemainingMs })
      await this.#opts.propose({ type: 'drain-upstream', upstreamId })
    }
    if (this.#isUsable(upstreamId) !== wasUsable) this.#opts.requestRound()
  }

  /** `id` names one process, or is the id that several in turn announced: then those that drain are the ones leaving. */
  async leave(id: string): Promise<void> {
    const leaving = [...this.#state.upstreams.values()].filter(
      ({ description: { upstreamId, announcedId }, isDraining, hasLeft }) =>
        !hasLeft && (upstreamId === id || (announcedId === id && isDraining)),
    )
    if (leaving.length === 0) this.#opts.logger.info({ event: 'upstream.leave-ignored', id })
    for (const { description } of leaving) {
      const { upstreamId } = description
      this.#opts.logger.info({ event: 'upstream.left', upstreamId })
      await this.#opts.propose({ type: 'remove-upstream', upstreamId })
    }
  }

  get #state(): BatchState {
    return this.#opts.getState()
  }

  /**
   * Whether announcements of this pool are accepted. An upstream whose pool was dropped from the configuration may still
   * announce that it leaves. Any other unconfigured pool belongs to another writer or is not configured yet: the
   * announcement is ignored, and a later one is accepted once the pool is configured.
   */
  #isPoolKnown({ upstreamId, pool }: Announcement): boolean {
    const { config } = this.#state
    if (config === undefined || config.pools.some(({ name }) => name === pool)) return true
    if (this.#state.upstreams.get(upstreamId)?.description.pool === pool) return true
    const reason = `pool ${pool} is not configured`
    this.#faultReporter.report({ kind: 'unknown-pool', sender: upstreamId, reason })
    return false
  }

  /** Records that a new process has come at the address of another one. */
  #noteReturn({ upstreamId, address }: UpstreamDescription): void {
    const { roster, clock } = this.#opts
    for (const former of this.#state.upstreams.values()) {
      const { description } = former
      if (description.address === address && description.upstreamId !== upstreamId)
        roster.health.noteLoss(former, clock.monotonicMs())
    }
  }

  /** `committedSequence` is that of the stored description; undefined if a later announcement was only heard. */
  #reportStale({ upstreamId, sequence }: Announcement, committedSequence?: number): void {
    const known = committedSequence ?? 'the last one heard'
    const reason = `sequence ${sequence} is not after ${known}`
    this.#faultReporter.report({ kind: 'stale-announcement', sender: upstreamId, reason })
  }

  #isUsable(upstreamId: string): boolean {
    const upstream = this.#state.upstreams.get(upstreamId)
    return upstream !== undefined && this.#opts.roster.isUsable(upstream)
  }
}
