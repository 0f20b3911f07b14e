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
import { callJson } from '@nettlespur/net.client'
import { formatBearerKey } from '@nettlespur/net.keys'
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
    while (!signal.aborted) await this.#announceUntilChanged(signal)
  }

  /** Resolves when an entry has been told that the upstream is leaving, or none could be. */
  async leave(): Promise<void> {
    this.#state.next('leaving')
    await firstValueFrom(this.#told.pipe(filter((state) => state === 'leaving')))
  }

  /** One announcement and the wait for the next; a change of state cuts both short. */
  async #announceUntilChanged(signal: AbortSignal): Promise<void> {
    const state = this.#state.value
    const changed = new AbortController()
    const changes = this.#state.pipe(skip(1)).subscribe(() => {
      changed.abort()
    })
    const untilChanged = AbortSignal.any([signal, changed.signal])
    const dueMs = this.#opts.isSilent() ? retryMs : await this.#announceOnce(state, untilChanged)
    if (!changed.signal.aborted) this.#told.next(state)
    await this.#opts.clock.sleep(dueMs * this.#pickShare(), untilChanged)
    changes.unsubscribe()
  }

  /** Asks the entries in turn until one answers; when the next announcement is due. */
  async #announceOnce(state: AnnouncedState, signal: AbortSignal): Promise<number> {
    for (const entry of this.#listFromNext()) {
      const dueMs = await this.#announceTo(entry, state, signal)
      if (dueMs !== undefined) return Math.max(dueMs, shortestIntervalMs)
      if (signal.aborted) break
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

  #pickShare(): number {
    const random = this.#opts.random ?? pickRandom
    return earliestShare + (1 - earliestShare) * random()
  }
}

function pickRandom(): number {
  return randomInt(randomSteps) / randomSteps
}
