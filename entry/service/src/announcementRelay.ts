/**
 * Forwards the announcements of upstreams to control's leader, one call at a time. An announcement that changes anything
 * but usage figures is forwarded at once; the others are batched for `batchIntervalMs`. An announcement that could not be
 * forwarded is retried unless a newer one of the same upstream has arrived.
 */
import type { Announcement } from '@nettlespur/api.schemas'
import type { ControlApi } from '@nettlespur/control.api'
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'

const batchIntervalMs = 1000
const backoffMinMs = 100
const backoffMaxMs = 500

export interface AnnouncementRelayOptions {
  clock: Clock
  logger: Logger
  control: ControlApi
  /** A number in [0, 1); Math.random by default. */
  random?: () => number
}

export class AnnouncementRelay {
  readonly #opts: AnnouncementRelayOptions
  readonly #pending = new Map<string, Announcement>()
  /** The announcement forwarded last, by upstream id, as `summarize` returns it. */
  readonly #forwarded = new Map<string, string>()
  #isUrgent = false
  #forwardedAtMs = Number.NEGATIVE_INFINITY
  #wake: AbortController | undefined

  constructor(opts: AnnouncementRelayOptions) {
    this.#opts = opts
  }

  /** Queues an announcement; it replaces a queued one of the same upstream. */
  receive(upstreamId: string, announcement: Announcement): void {
    this.#pending.set(upstreamId, announcement)
    if (this.#forwarded.get(upstreamId) === summarize(announcement)) return
    this.#isUrgent = true
    this.#wake?.abort()
  }

  /** Runs until `signal` is aborted, then forwards what is still queued. */
  async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.#wake?.abort(), { once: true })
    while (!signal.aborted) {
      await this.#waitUntilDue()
      const isForwarded = await this.#forwardPending()
      if (!isForwarded) await this.#opts.clock.sleep(this.#chooseBackoffMs(), signal)
    }
    await this.#forwardPending()
  }

  async #waitUntilDue(): Promise<void> {
    if (this.#isUrgent) return
    this.#wake = new AbortController()
    const dueMs = this.#forwardedAtMs + batchIntervalMs
    const remainingMs = Math.max(0, dueMs - this.#opts.clock.monotonicMs())
    await this.#opts.clock.sleep(remainingMs, this.#wake.signal)
    this.#wake = undefined
  }

  /** Resolves to false, with the announcements queued again, if the call failed. */
  async #forwardPending(): Promise<boolean> {
    const batch = [...this.#pending].map(([upstreamId, announcement]) => ({
      upstreamId,
      announcement,
    }))
    this.#pending.clear()
    this.#isUrgent = false
    this.#forwardedAtMs = this.#opts.clock.monotonicMs()
    if (batch.length === 0) return true
    for (const { upstreamId, announcement } of batch) {
      this.#forwarded.set(upstreamId, summarize(announcement))
    }
    const outcome = await this.#opts.control.announce({ items: batch }).run()
    return outcome.caseOf({
      Left: (error) => {
        this.#requeue(batch)
        this.#opts.logger.warn({
          event: 'announcements.not-passed-on',
          count: batch.length,
          kind: error.kind,
          reason: error.message,
        })
        return false
      },
      Right: () => true,
    })
  }

  #requeue(batch: readonly { upstreamId: string; announcement: Announcement }[]): void {
    this.#isUrgent = true
    for (const { upstreamId, announcement } of batch) {
      this.#forwarded.delete(upstreamId)
      if (!this.#pending.has(upstreamId)) this.#pending.set(upstreamId, announcement)
    }
  }

  #chooseBackoffMs(): number {
    const random = this.#opts.random ?? Math.random
    return backoffMinMs + random() * (backoffMaxMs - backoffMinMs)
  }
}

/** Serializes an announcement without its usage figures, to compare it with the next one. */
function summarize(announcement: Announcement): string {
  const tasks = announcement.tasks.map(({ taskId, fence, state }) => [taskId, fence, state])
  return JSON.stringify({ ...announcement, tasks })
}
