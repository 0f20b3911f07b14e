/**
 * Passes announcements on to control's leader by one task: what changed at once, the rest together once a
 * second. Usage figures alone are no change. What could not be passed on is tried again unless a newer
 * announcement of the same upstream has come.
 */
import type { Announcement } from '@nettlespur/api.schemas'
import type { ControlApi } from '@nettlespur/control.api'
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'

const batchEveryMs = 1000
const shortestBackoffMs = 100
const longestBackoffMs = 500

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
  /** What of each upstream was passed on last, without its usage figures. */
  readonly #passedOn = new Map<string, string>()
  #urgent = false
  #passedOnAtMs = Number.NEGATIVE_INFINITY
  #wake: AbortController | undefined

  constructor(opts: AnnouncementRelayOptions) {
    this.#opts = opts
  }

  /** Takes an announcement; it replaces one of the same upstream that still waits. */
  receive(upstreamId: string, announcement: Announcement): void {
    this.#pending.set(upstreamId, announcement)
    if (this.#passedOn.get(upstreamId) === summarize(announcement)) return
    this.#urgent = true
    this.#wake?.abort()
  }

  /** Runs until `signal` is aborted, then passes on what still waits. */
  async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.#wake?.abort(), { once: true })
    while (!signal.aborted) {
      await this.#untilDue()
      const passed = await this.#passOn()
      if (!passed) await this.#opts.clock.sleep(this.#chooseBackoffMs(), signal)
    }
    await this.#passOn()
  }

  async #untilDue(): Promise<void> {
    if (this.#urgent) return
    this.#wake = new AbortController()
    const dueMs = this.#passedOnAtMs + batchEveryMs
    const remainingMs = Math.max(0, dueMs - this.#opts.clock.monotonicMs())
    await this.#opts.clock.sleep(remainingMs, this.#wake.signal)
    this.#wake = undefined
  }

  async #passOn(): Promise<boolean> {
    const batch = [...this.#pending].map(([upstreamId, announcement]) => ({
      upstreamId,
      announcement,
    }))
    this.#pending.clear()
    this.#urgent = false
    this.#passedOnAtMs = this.#opts.clock.monotonicMs()
    if (batch.length === 0) return true
    for (const { upstreamId, announcement } of batch) {
      this.#passedOn.set(upstreamId, summarize(announcement))
    }
    const outcome = await this.#opts.control.announce({ items: batch }).run()
    return outcome.caseOf({
      Left: (error) => {
        this.#takeBack(batch)
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

  #takeBack(batch: readonly { upstreamId: string; announcement: Announcement }[]): void {
    this.#urgent = true
    for (const { upstreamId, announcement } of batch) {
      this.#passedOn.delete(upstreamId)
      if (!this.#pending.has(upstreamId)) this.#pending.set(upstreamId, announcement)
    }
  }

  #chooseBackoffMs(): number {
    const random = this.#opts.random ?? Math.random
    return shortestBackoffMs + random() * (longestBackoffMs - shortestBackoffMs)
  }
}

/** An announcement without its usage figures. */
function summarize(announcement: Announcement): string {
  const tasks = announcement.tasks.map(({ taskId, fence, state }) => [taskId, fence, state])
  return JSON.stringify({ ...announcement, tasks })
}
