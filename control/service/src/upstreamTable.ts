/**
 * The upstreams as last announced: soft state that each leader rebuilds. An upstream that stops announcing
 * becomes suspect, then gone; one that announces that it is leaving is marked so at once.
 */
import type { Announcement, UpstreamState, UpstreamView } from '@nettlespur/api.schemas'
import type { UpstreamHealth } from '@nettlespur/control.state'
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import { Subject, type BehaviorSubject, type Observable } from 'rxjs'

/** A gone upstream is removed after this multiple of `goneMs`. */
const forgetFactor = 60
/** States of upstreams that are heard and stay. */
const heardStates: ReadonlySet<UpstreamState> = new Set(['ready', 'quarantined', 'evacuated'])
const silentStates: ReadonlySet<UpstreamState> = new Set(['suspect', 'gone'])

export interface UpstreamTableOptions {
  clock: Clock
  logger: Logger
  suspectMs: number
  goneMs: number
  /** Reads the failure marks and the quarantine of an upstream from the replicated state. */
  readHealth: (upstreamId: string) => UpstreamHealth | undefined
  /** Whether the replicated state has the data centre as evacuated. */
  isEvacuated: (dataCentre: string) => boolean
  /** Incremented with each change that entries must learn of. */
  version: BehaviorSubject<number>
}

interface Row {
  readonly view: UpstreamView
  readonly heardMs: number
  /** Monotonic time of the last announcement that it is leaving. */
  readonly leavingMs: number | undefined
  readonly version: number
}

export class UpstreamTable {
  readonly #opts: UpstreamTableOptions
  readonly #rows = new Map<string, Row>()
  readonly #changes = new Subject<string>()

  constructor(opts: UpstreamTableOptions) {
    this.#opts = opts
  }

  /** Emits the id of each upstream whose view has changed. */
  get changes(): Observable<string> {
    return this.#changes
  }

  /**
   * Whether an upstream is silent while at least half of all upstreams are not. If fewer are heard, this
   * leader itself may be cut off.
   */
  isSilent(upstreamId: string): boolean {
    const row = this.#rows.get(upstreamId)
    if (row === undefined || !silentStates.has(row.view.state)) return false
    const heard = this.list().filter((view) => !silentStates.has(view.state))
    return heard.length * 2 >= this.#rows.size
  }

  list(): UpstreamView[] {
    return [...this.#rows.values()].map((row) => row.view)
  }

  /** Lists upstreams that changed after `version`. */
  listSince(version: number): UpstreamView[] {
    return [...this.#rows.values()].filter((row) => row.version > version).map((row) => row.view)
  }

  /**
   * Records an announcement. Announcements of one upstream may arrive out of order, so `leaving` prevails
   * over a `ready` that arrives within `suspectMs` after it.
   */
  recordAnnouncement(upstreamId: string, announcement: Announcement): void {
    const nowMs = this.#opts.clock.monotonicMs()
    const former = this.#rows.get(upstreamId)
    const leavingMs = announcement.state === 'leaving' ? nowMs : former?.leavingMs
    const leaving = leavingMs !== undefined && nowMs - leavingMs < this.#opts.suspectMs
    const state = leaving ? 'leaving' : this.#pickHeardState(upstreamId, announcement.dataCentre)
    const view = toView(upstreamId, announcement, state)
    this.#updateRow({ view, heardMs: nowMs, leavingMs })
  }

  /** Updates the states of upstreams by their silence and quarantine; called periodically. */
  refresh(): void {
    const { clock, goneMs } = this.#opts
    for (const row of this.#rows.values()) {
      const silentMs = clock.monotonicMs() - row.heardMs
      const state = this.#computeState(row, silentMs)
      if (state !== row.view.state) this.#updateRow({ ...row, view: { ...row.view, state } })
      if (silentMs > goneMs * forgetFactor) this.#rows.delete(row.view.upstreamId)
    }
  }

  #computeState({ view }: Row, silentMs: number): UpstreamState {
    const { suspectMs, goneMs } = this.#opts
    if (silentMs >= goneMs) return 'gone'
    if (!heardStates.has(view.state)) return view.state
    return silentMs >= suspectMs
      ? 'suspect'
      : this.#pickHeardState(view.upstreamId, view.dataCentre)
  }

  /** The state of an upstream that is heard and does not leave. */
  #pickHeardState(upstreamId: string, dataCentre: string): UpstreamState {
    if (this.#opts.isEvacuated(dataCentre)) return 'evacuated'
    const quarantine = this.#opts.readHealth(upstreamId)?.quarantine
    return quarantine === undefined ? 'ready' : 'quarantined'
  }

  #updateRow(row: Omit<Row, 'version'>): void {
    const { version, logger } = this.#opts
    const { upstreamId, address, state } = row.view
    const former = this.#rows.get(upstreamId)
    if (former !== undefined && isSameView(former.view, row.view)) {
      this.#rows.set(upstreamId, { ...row, version: former.version })
      return
    }
    const next = version.value + 1
    this.#rows.set(upstreamId, { ...row, version: next })
    const before = former?.view.state ?? 'unheard'
    logger.info({ event: 'upstream.changed', upstreamId, address, before, state })
    if (state === 'quarantined') this.#logQuarantine(upstreamId)
    this.#changes.next(upstreamId)
    version.next(next)
  }

  #logQuarantine(upstreamId: string): void {
    const health = this.#opts.readHealth(upstreamId)
    const jobIds = health?.markedBy
    const probeAt = health?.quarantine?.probeAt
    const reason = 'distinct jobs failed on it soon after their start'
    this.#opts.logger.warn({ event: 'upstream.quarantined', upstreamId, jobIds, probeAt, reason })
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

function isSameView(left: UpstreamView, right: UpstreamView): boolean {
  return JSON.stringify(left) === JSON.stringify(right)
}
