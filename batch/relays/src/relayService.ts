/** The relays of one member: as the leader it makes calls through the others, otherwise it carries the leader's calls. */
import type { UpstreamPort } from '@nettlespur/batch.sessions'
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import type { ClosablePort } from './closablePort.js'
import type { Leadership } from './leadership.js'
import { MemberAssignment } from './memberAssignment.js'
import { Relay } from './relay.js'
import { RelayedUpstreamPort } from './relayedUpstreamPort.js'
import type { RelayLink } from './relayLink.js'

export interface RelayServiceOptions {
  clock: Clock
  logger: Logger
  metrics: MetricsRegistry
  /** The port over which this member itself calls upstreams. */
  port: UpstreamPort
  link: RelayLink
  /** The peer address of this member. */
  ownAddress: string
  /** The number of upstreams from which a leader uses relays. */
  relayFromUpstreams: number
}

export class RelayService {
  readonly relay: Relay
  readonly #opts: RelayServiceOptions
  readonly #assignment = new MemberAssignment()
  #leaderPort: RelayedUpstreamPort | undefined

  constructor(opts: RelayServiceOptions) {
    this.#opts = opts
    this.relay = new Relay(opts)
    opts.metrics.gauge('relay_members_in_use', () => this.#countRelays())
  }

  /** Opens the port of a leadership that begins. The caller closes it when the leadership ends. */
  openLeaderPort(leadership: Leadership): ClosablePort {
    this.#leaderPort?.close()
    this.#leaderPort = new RelayedUpstreamPort({ ...this.#opts, leadership })
    return this.#leaderPort
  }

  closeLeaderPort(): void {
    this.#leaderPort?.close()
    this.#leaderPort = undefined
  }

  /** Whether this member carries calls for a leader that uses relays, so that announcements are passed on in batches. */
  get isRelaying(): boolean {
    return this.#leaderPort === undefined && this.relay.servingAddresses.length > 0
  }

  /** Returns the peer address of the member to which the upstream announces itself; undefined while no relays are used. */
  findAnnounceMember(upstreamAddress: string): string | undefined {
    const { servingAddresses } = this.#leaderPort ?? this.relay
    return this.#assignment.find(upstreamAddress, servingAddresses)
  }

  #countRelays(): number {
    const { ownAddress } = this.#opts
    const serving = this.#leaderPort?.servingAddresses ?? []
    return serving.filter((address) => address !== ownAddress).length
  }
}
