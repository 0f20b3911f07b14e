/**
 * Announces the upstream to the entries: at the interval the last answer named, at once on a change of
 * state, and to the next entry when one fails.
 */
import { randomInt } from 'node:crypto'
import {
  announcementAnswerSchema,
  type Announcement,
  type TaskReport,
} from '@nettlespur/api.schemas'
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import { callJson } from '@nettlespur/http.client'
import { formatBearerKey } from '@nettlespur/http.keys'
import { BehaviorSubject, filter, firstValueFrom, skip } from 'rxjs'

const callTimeoutMs = 1000
const retryMs = 500
const shortestIntervalMs = 20
/** The next announcement comes after this share of the interval at the earliest. */
const earliestShare = 0.8
const randomSteps = 1_000_000

export interface AnnouncerOptions {
  clock: Clock
  logger: Logger
  upstreamId: string
  /** What stays the same from one announcement to the next. */
  fixed: Omit<Announcement, 'state' | 'tasks'>
  listTasks: () => TaskReport[]
  /** Caller sides of the entries. */
  entries: readonly string[]
  key?: string | undefined
  /** While true, nothing is sent. */
  isSilent: () => boolean
  /** From 0 to below 1. */
  random?: (() => number) | undefined
}

type AnnouncedState = Announcement['state']

export class Announcer {
  readonly #opts: AnnouncerOptions
  readonly #state = new BehaviorSubject<AnnouncedState>('ready')
  /** The last state that a whole round of entries was asked to take. */
  readonly #told = new BehaviorSubject<AnnouncedState | undefined>(undefined)
  #next = 0

  constructor(opts: AnnouncerOptions) {
    this.#opts = opts
  }

  /** Announces until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const state = this.#state.value
      const intervalMs = this.#opts.isSilent() ? retryMs : await this.#announceOnce(state, signal)
      this.#told.next(state)
      if (this.#state.value === state) await this.#sleepUnlessChanged(intervalMs, signal)
    }
  }

  /** Resolves when an entry has been told that the upstream is leaving, or none could be. */
  async leave(): Promise<void> {
    this.#state.next('leaving')
    await firstValueFrom(this.#told.pipe(filter((state) => state === 'leaving')))
  }

  /** Asks the entries in turn until one answers; when the next announcement is due. */
  async #announceOnce(state: AnnouncedState, signal: AbortSignal): Promise<number> {
    for (const entry of this.#listFromNext()) {
      const dueMs = await this.#announceTo(entry, state, signal)
      if (dueMs !== undefined) return Math.max(dueMs, shortestIntervalMs)
      this.#next += 1
    }
    return retryMs
  }

  async #announceTo(
    entry: string,
    state: AnnouncedState,
    signal: AbortSignal,
  ): Promise<number | undefined> {
    const { clock, logger, upstreamId, fixed, listTasks, key } = this.#opts
    const answer = await callJson({
      clock,
      address: entry,
      method: 'POST',
      path: `/v1/upstreams/${encodeURIComponent(upstreamId)}/announce`,
      json: { ...fixed, state, tasks: listTasks() },
      answer: announcementAnswerSchema,
      timeoutMs: callTimeoutMs,
      signal,
      ...(key === undefined ? {} : { headers: { authorization: formatBearerKey(key) } }),
    }).run()
    answer.ifLeft((error) => {
      logger.warn({
        event: 'upstream.announcement-failed',
        entry,
        kind: error.kind,
        message: error.message,
      })
    })
    return answer.caseOf({
      Left: () => undefined,
      Right: ({ nextAnnouncementMs }) => nextAnnouncementMs,
    })
  }

  /** Every entry once, the one that answered last first. */
  #listFromNext(): string[] {
    const { entries } = this.#opts
    const first = this.#next % entries.length
    return [...entries.slice(first), ...entries.slice(0, first)]
  }

  async #sleepUnlessChanged(intervalMs: number, signal: AbortSignal): Promise<void> {
    const wake = new AbortController()
    const changes = this.#state.pipe(skip(1)).subscribe(() => {
      wake.abort()
    })
    const random = this.#opts.random ?? pickRandom
    const share = earliestShare + (1 - earliestShare) * random()
    await this.#opts.clock.sleep(intervalMs * share, AbortSignal.any([wake.signal, signal]))
    changes.unsubscribe()
  }
}

function pickRandom(): number {
  return randomInt(randomSteps) / randomSteps
}
