/** Delivers the announcements of a fake fleet's upstreams to its leader: in time, late, or made up by another sender. */
import type { FakeUpstream } from '@nettlespur/batch.fakes'
import { createProcessId, type Announcement } from '@nettlespur/batch.model'
import type { Clock } from '@nettlespur/core.clock'
import type { BatchLeader } from '../src/batchLeader.js'
import { dataCentreOf, type FleetLinks } from './fleetLinks.js'

/** Above all that the upstreams of a test reach by themselves. */
const foreignSequence = 1e6

export interface FleetAnnouncerOptions {
  clock: Clock
  links: FleetLinks
  /** The upstream at each address. */
  upstreams: ReadonlyMap<string, FakeUpstream>
  findLeader: () => BatchLeader | undefined
}

export class FleetAnnouncer {
  readonly #opts: FleetAnnouncerOptions
  readonly #silentAddresses = new Set<string>()
  /** When each draining upstream leaves. */
  readonly #leavesAtMs = new WeakMap<FakeUpstream, number>()
  readonly #sequences = new WeakMap<FakeUpstream, number>()

  constructor(opts: FleetAnnouncerOptions) {
    this.#opts = opts
  }

  async announceForever(everyMs: number): Promise<void> {
    const { clock, upstreams } = this.#opts
    for (;;) {
      for (const upstream of upstreams.values()) void this.#announce(upstream)
      await clock.sleep(everyMs)
    }
  }

  /** From now on the upstream at the address says that it drains. Resolves once the leader has answered. */
  async drain(address: string, drainRemainingMs: number): Promise<void> {
    const { clock, upstreams } = this.#opts
    const upstream = upstreams.get(address)
    if (upstream === undefined) return
    this.#leavesAtMs.set(upstream, clock.monotonicMs() + drainRemainingMs)
    await this.#announce(upstream)
  }

  stopAnnouncing(address: string): void {
    this.#silentAddresses.add(address)
  }

  /** What the upstream at the address would announce now arrives later. */
  announceLate(address: string, delayMs: number): void {
    const { clock, upstreams } = this.#opts
    const upstream = upstreams.get(address)
    if (upstream === undefined) return
    const announcement = this.#createAnnouncement(upstream)
    clock.setTimer(delayMs, () => {
      void this.#deliver(announcement)
    })
  }

  announceForeign(address: string, bornOffsetMs: number): void {
    const upstream = this.#opts.upstreams.get(address)
    if (upstream?.bornMs === undefined) return
    const upstreamId = createProcessId(upstream.upstreamId, upstream.bornMs + bornOffsetMs)
    const announcement = this.#createAnnouncement(upstream)
    void this.#deliver({ ...announcement, upstreamId, sequence: foreignSequence })
  }

  async #announce(upstream: FakeUpstream): Promise<void> {
    const { address, isUp } = upstream
    if (!isUp || this.#opts.links.isCut(address) || this.#silentAddresses.has(address)) return
    await this.#deliver(this.#createAnnouncement(upstream))
  }

  async #deliver(announcement: Announcement): Promise<void> {
    await this.#opts
      .findLeader()
      ?.announce(announcement)
      .catch(() => undefined)
  }

  #createAnnouncement(upstream: FakeUpstream): Announcement {
    const { upstreamId: announcedId, processId, bornMs, address, clockMs, accelerators } = upstream
    const leavesAtMs = this.#leavesAtMs.get(upstream)
    const leftMs = (leavesAtMs ?? 0) - this.#opts.clock.monotonicMs()
    return {
      upstreamId: processId,
      ...(bornMs === undefined ? {} : { announcedId }),
      pool: 'pool',
      address,
      dataCentre: dataCentreOf(address),
      rack: 'rack',
      labels: [],
      capacity: { cpuMillicores: 100_000, memoryMiB: 100_000, accelerators },
      isDraining: leavesAtMs !== undefined,
      ...(leavesAtMs === undefined ? {} : { drainRemainingMs: Math.max(0, leftMs) }),
      sequence: this.#nextSequence(upstream),
      clockMs,
    }
  }

  /** Begins anew with each process. */
  #nextSequence(upstream: FakeUpstream): number {
    const sequence = (this.#sequences.get(upstream) ?? 0) + 1
    this.#sequences.set(upstream, sequence)
    return sequence
  }
}
