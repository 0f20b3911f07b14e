/** The relays of a fake fleet: two members besides the leader, which is the same member in each term. */
import { RelayedUpstreamPort } from '@nettlespur/batch.relays'
import type { UpstreamPort } from '@nettlespur/batch.sessions'
import type { BatchState } from '@nettlespur/batch.state'
import type { ManualClock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import { SimulatedRelayLink, type RelayFault } from './simulatedRelayLink.js'

const leaderAddress = '127.0.0.1:7001'
export const relayAddresses = ['127.0.0.1:7002', '127.0.0.1:7003'] as const

export interface FleetRelaysOptions {
  clock: ManualClock
  logger: Logger
  /** Reaches the upstreams, from whichever member. */
  port: UpstreamPort
  relayFromUpstreams: number | undefined
  state: BatchState
}

export class FleetRelays {
  readonly metrics = new MetricsRegistry()
  readonly link: SimulatedRelayLink
  readonly #opts: FleetRelaysOptions
  #leaderPort: RelayedUpstreamPort | undefined

  constructor(opts: FleetRelaysOptions) {
    this.#opts = opts
    this.link = new SimulatedRelayLink({ ...opts, addresses: relayAddresses })
  }

  /** Peer addresses of the members that serve upstreams; empty while no relays are used. */
  get servingAddresses(): readonly string[] {
    return this.#leaderPort?.servingAddresses ?? []
  }

  openPort(term: number): UpstreamPort {
    const { relayFromUpstreams, state } = this.#opts
    if (relayFromUpstreams === undefined) return this.#opts.port
    const countUpstreams = (): number =>
      [...state.upstreams.values()].filter(({ hasLeft }) => !hasLeft).length
    const listMemberAddresses = (): readonly string[] => [leaderAddress, ...relayAddresses]
    this.#leaderPort = new RelayedUpstreamPort({
      ...this.#opts,
      relayFromUpstreams,
      metrics: this.metrics,
      link: this.link,
      ownAddress: leaderAddress,
      leadership: { term, countUpstreams, listMemberAddresses },
    })
    return this.#leaderPort
  }

  /** Returns what closes the port that is open now. */
  detachPort(): () => void {
    const port = this.#leaderPort
    return () => port?.close()
  }

  inject({ relay, fault, forMs }: { relay: number; fault: RelayFault; forMs: number }): void {
    const address = relayAddresses[relay % relayAddresses.length] ?? ''
    this.link.break(address, fault)
    this.#opts.clock.setTimer(forMs, () => {
      this.link.mend(address)
    })
  }

  mendAll(): void {
    this.link.mendAll()
  }
}
