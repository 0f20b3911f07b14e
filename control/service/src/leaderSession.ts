/**
 * State and tasks of an instance for one term as leader: the placed gangs, the placement loop, the claim
 * resolver, and the tables of upstreams and entries. Each term starts a new session with empty tables.
 */
import { randomUUID } from 'node:crypto'
import type { TaskReport } from '@nettlespur/api.schemas'
import type { Announcements } from '@nettlespur/control.api'
import { GangManager } from '@nettlespur/control.gangs'
import { LifecycleManager } from '@nettlespur/core.lifecycle'
import { BehaviorSubject, Subject } from 'rxjs'
import { ClaimResolver } from './claimResolver.js'
import { EntryTable } from './entryTable.js'
import type { ControlNodeOptions } from './nodeOptions.js'
import { PlacementLoop } from './placementLoop.js'
import { UpstreamTable } from './upstreamTable.js'

const refreshEveryMs = 250
const barrierRetryMs = 100
const stopDeadlineMs = 10_000
const epochSuffixLength = 8
const firstTerm = 1

export class LeaderSession {
  readonly term: number
  /** Identifies this session. Versions that entries hold are valid only within the epoch they came from. */
  readonly epoch: string
  /** Incremented with each change of the upstreams or entries. */
  readonly version = new BehaviorSubject(1)
  readonly upstreams: UpstreamTable
  readonly entries: EntryTable
  readonly placements: PlacementLoop
  readonly #opts: ControlNodeOptions
  readonly #gangs: GangManager
  readonly #taskReports = new Subject<TaskReport>()
  readonly #lifecycle: LifecycleManager
  readonly #startMs: number

  constructor(opts: ControlNodeOptions, term: number) {
    const { clock, logger, timings, holder, version } = { ...opts, version: this.version }
    this.#opts = opts
    this.term = term
    this.epoch = `${opts.instanceId}-${term}-${randomUUID().slice(0, epochSuffixLength)}`
    this.#startMs = clock.monotonicMs()
    const { upstreamSuspectMs: suspectMs, upstreamGoneMs: goneMs } = timings
    this.upstreams = new UpstreamTable({
      clock,
      logger,
      suspectMs,
      goneMs,
      readHealth: (upstreamId) => holder.state.getUpstreamHealth(upstreamId),
      isEvacuated: (dataCentre) => holder.state.isEvacuated(dataCentre),
      version,
    })
    const dropAfterMs = timings.contractLeaseMs + timings.clockDriftMarginMs
    // Checks the term too, as commits of a former leader may not be applied here yet.
    const mayHaveFormerEntries = term > firstTerm || holder.state.appliedIndex > 0
    this.entries = new EntryTable({ clock, dropAfterMs, mayHaveFormerEntries, version })
    const random = opts.random ?? Math.random
    const { upstreams } = this
    this.#gangs = new GangManager({
      ...opts,
      random,
      taskReports: this.#taskReports,
      isUpstreamSilent: (upstreamId) => upstreams.isSilent(upstreamId),
      upstreamChanges: upstreams.changes,
    })
    this.placements = new PlacementLoop({
      node: opts,
      gangs: this.#gangs,
      upstreams,
      knowsUpstreams: () => this.knowsUpstreams,
      version,
    })
    const onFault = ({ name, cause }: { name: string; cause: unknown }): void => {
      logger.error({ event: 'control.leadership-fault', name, reason: String(cause) })
    }
    this.#lifecycle = new LifecycleManager({ clock, drainDeadlineMs: stopDeadlineMs, onFault })
  }

  /** Aborted when this session ends. */
  get ended(): AbortSignal {
    return this.#lifecycle.stopSignal
  }

  /** Whether upstreams have had the time to announce themselves to this leader. */
  get knowsUpstreams(): boolean {
    const { clock, timings } = this.#opts
    return clock.monotonicMs() - this.#startMs >= timings.upstreamSuspectMs
  }

  start(): void {
    this.#lifecycle.ownTask('placement', (signal) => this.#runPlacement(signal))
    this.#lifecycle.ownTask('claims', (signal) => this.#resolveClaims(signal))
    this.#lifecycle.ownTask('refresh', (signal) => this.#refresh(signal))
    // Registered last so that it stops first: an instance that no longer leads must not renew leases.
    this.#lifecycle.own('gangs', () => this.#gangs.stop())
  }

  stop(): Promise<void> {
    return this.#lifecycle.stop()
  }

  announce({ items }: Announcements): void {
    for (const { upstreamId, announcement } of items) {
      this.upstreams.recordAnnouncement(upstreamId, announcement)
      for (const report of announcement.tasks) this.#taskReports.next(report)
    }
  }

  /** Decides nothing before the state includes all commits of former leaders. */
  async #runPlacement(signal: AbortSignal): Promise<void> {
    await this.#waitForCommittedState(signal)
    if (!signal.aborted) await this.placements.run(signal)
  }

  async #resolveClaims(signal: AbortSignal): Promise<void> {
    await this.#waitForCommittedState(signal)
    if (!signal.aborted) await new ClaimResolver(this.#opts, this.entries).run(signal)
  }

  async #waitForCommittedState(signal: AbortSignal): Promise<void> {
    const { log, clock } = this.#opts
    while ((await log.readBarrier().run()).isLeft()) {
      await clock.sleep(barrierRetryMs, signal)
      if (signal.aborted) return
    }
  }

  async #refresh(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.upstreams.refresh()
      this.entries.refresh()
      await this.#opts.clock.sleep(refreshEveryMs, signal)
    }
  }
}
