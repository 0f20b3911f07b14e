/**
 * The upstreams as their announcements show them: soft state of the leader, made anew by each. Without
 * announcements an upstream becomes suspect, then gone; one that says it is leaving is so at once.
 */
import type { Announcement, UpstreamState, UpstreamView } from '@nettlespur/api.schemas'
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import type { BehaviorSubject } from 'rxjs'

/** Times of `upstreamGoneMs` after which a gone upstream is forgotten. */
const forgetFactor = 60

export interface UpstreamTableOptions {
  clock: Clock
  logger: Logger
  suspectMs: number
  goneMs: number
  /** Raised with each change that entries must learn of. */
  version: BehaviorSubject<number>
}

interface Row {
  readonly view: UpstreamView
  readonly heardMs: number
  /** When it last said that it is leaving. */
  readonly leavingMs: number | undefined
  readonly version: number
}

export class UpstreamTable {
  readonly #opts: UpstreamTableOptions
  readonly #rows = new Map<string, Row>()

  constructor(opts: UpstreamTableOptions) {
    this.#opts = opts
  }

  list(): UpstreamView[] {
    return [...this.#rows.values()].map((row) => row.view)
  }

  /** Those that changed after `version`. */
  listSince(version: number): UpstreamView[] {
    return [...this.#rows.values()].filter((row) => row.version > version).map((row) => row.view)
  }

  /** Announcements of one upstream may overtake each other: a fresh leaving outweighs a ready after it. */
  hear(upstreamId: string, announcement: Announcement): void {
    const nowMs = this.#opts.clock.monotonicMs()
    const former = this.#rows.get(upstreamId)
    const leavingMs = announcement.state === 'leaving' ? nowMs : former?.leavingMs
    const leaving = leavingMs !== undefined && nowMs - leavingMs < this.#opts.suspectMs
    const view = toView(upstreamId, announcement, leaving ? 'leaving' : 'ready')
    this.#put({ view, heardMs: nowMs, leavingMs })
  }

  /** Moves silent upstreams on; called often. */
  refresh(): void {
    const { clock, goneMs } = this.#opts
    for (const row of this.#rows.values()) {
      const silentMs = clock.monotonicMs() - row.heardMs
      const state = this.#pickState(row, silentMs)
      if (state !== row.view.state) this.#put({ ...row, view: { ...row.view, state } })
      if (silentMs > goneMs * forgetFactor) this.#rows.delete(row.view.upstreamId)
    }
  }

  #pickState({ view }: Row, silentMs: number): UpstreamState {
    const { suspectMs, goneMs } = this.#opts
    if (silentMs >= goneMs) return 'gone'
    if (silentMs >= suspectMs && view.state === 'ready') return 'suspect'
    return view.state
  }

  #put(row: Omit<Row, 'version'>): void {
    const { version, logger } = this.#opts
    const { upstreamId, address, state } = row.view
    const former = this.#rows.get(upstreamId)
    if (former !== undefined && isSame(former.view, row.view)) {
      this.#rows.set(upstreamId, { ...row, version: former.version })
      return
    }
    const next = version.value + 1
    this.#rows.set(upstreamId, { ...row, version: next })
    const before = former?.view.state ?? 'unheard'
    logger.info({ event: 'upstream.changed', upstreamId, address, before, state })
    version.next(next)
  }
}

function toView(upstreamId: string, announced: Announcement, state: UpstreamState): UpstreamView {
  const { address, dataCentre, rack, slots, cpuCores, memoryBytes, accelerators } = announced
  return {
    upstreamId,
    address,
    dataCentre,
    rack,
    slots,
    cpuCores,
    memoryBytes,
    accelerators,
    state,
    ...(announced.session === undefined ? {} : { session: announced.session }),
  }
}

function isSame(left: UpstreamView, right: UpstreamView): boolean {
  return JSON.stringify(left) === JSON.stringify(right)
}
