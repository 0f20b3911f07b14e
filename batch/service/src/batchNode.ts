/**
 * One control member for batch scheduling: its Raft node, the replicated state and, while it leads, the leader's work. A
 * member that does not lead refuses the leader's calls with the leader's address.
 */
import type {
  AnswerRequest,
  OrderBatch,
  RelayAnswers,
  RelayReceipt,
  RelayService,
} from '@nettlespur/batch.relays'
import type { UpstreamPort } from '@nettlespur/batch.sessions'
import {
  BatchMachine,
  encodeCommand,
  type BatchState,
  type CommandOutcome,
} from '@nettlespur/batch.state'
import {
  RaftNode,
  type Member,
  type RaftLimits,
  type RaftTransport,
  type LeadershipState,
} from '@nettlespur/consensus.raft'
import type { Clock } from '@nettlespur/core.clock'
import { describeFault, NettlespurError } from '@nettlespur/core.errors'
import { measureWork } from '@nettlespur/core.load'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import type { LogStore } from '@nettlespur/storage.log'
import type { BatchApi, LeaderView } from './batchApi.js'
import { LeaderApi } from './leaderApi.js'
import { BatchLeader } from './batchLeader.js'
import { JobClock } from './jobClock.js'
import type { BatchTimings } from './batchTimings.js'
import type { UpstreamSpeedsMode } from './upstreamSpeedsMode.js'

/** Delay before a refused caller retries, and before a new leader repeats a failed read barrier. */
const retryAfterMs = 500

export interface BatchNodeOptions {
  memberId: string
  /** The members that found the group; empty for an instance that asks to be added. */
  initialMembers: readonly Member[]
  clock: Clock
  logger: Logger
  metrics: MetricsRegistry
  /** The node closes it when it stops. */
  store: LogStore
  transport: RaftTransport
  port: UpstreamPort
  /** Set if relays may be used. It makes the calls of this member over `port` too. */
  relays?: RelayService
  timings: BatchTimings
  /** The data centres that operators may evacuate, besides those of the upstreams. None by default. */
  dataCentres?: readonly string[]
  /** Whether it learns the speeds of upstreams while it leads; `ignore` by default. */
  upstreamSpeeds?: UpstreamSpeedsMode | undefined
  /** Override the default limits of Raft. */
  limits?: Partial<RaftLimits>
  /** A number in [0, 1); Math.random by default. */
  random?: () => number
  /** Passed on to the Raft node. */
  onFault?: (fault: NettlespurError) => void
}

export class BatchNode {
  readonly raft: RaftNode<CommandOutcome>
  /** The batch API, served while this member leads; otherwise every call is refused with `not-leader`. */
  readonly calls: BatchApi
  readonly #opts: BatchNodeOptions
  readonly #machine: BatchMachine
  readonly #jobClock = new JobClock()
  #leader: BatchLeader | undefined

  private constructor(
    opts: BatchNodeOptions,
    raft: RaftNode<CommandOutcome>,
    machine: BatchMachine,
  ) {
    this.#opts = opts
    this.raft = raft
    this.#machine = machine
    this.calls = new LeaderApi({
      clock: opts.clock,
      raft,
      dataCentres: opts.dataCentres ?? [],
      getState: () => this.#state,
      requireLeader: () => this.#requireLeader(),
      logger: opts.logger,
      metrics: opts.metrics,
    })
    opts.metrics.gauge('evacuated_data_centres', () => this.#state.evacuations.listInForce().length)
    machine.applied.subscribe((command) => {
      this.#jobClock.noteApplied(command, this.#state, opts.clock.monotonicMs())
      this.#leader?.handleAppliedCommand(command)
    })
    raft.leadership.subscribe((standing) => {
      this.#handleStanding(standing)
    })
  }

  /** Errors: rejects with `storage-damaged` and `storage-failed`. */
  static async open(opts: BatchNodeOptions): Promise<BatchNode> {
    const machine = new BatchMachine({ measure: (work) => measureWork(opts, 'apply', work) })
    const { memberId, initialMembers, clock, logger, store, transport, timings, random } = opts
    const raft = await RaftNode.open({
      memberId,
      initialMembers,
      clock,
      logger,
      store,
      transport,
      machine,
      timings: timings.raft,
      limits: opts.limits ?? {},
      ...(random === undefined ? {} : { random }),
      ...(opts.onFault === undefined ? {} : { onFault: opts.onFault }),
      // Unsafe here: the platform may suspend an instance, and its monotonic clock does not count that time.
      leaseReads: false,
    })
    return new BatchNode(opts, raft, machine)
  }

  /** False for an instance that still has to ask to be added. */
  get isMember(): boolean {
    return this.raft.isMember
  }

  /** The peer address of the leader; undefined if this member knows none. */
  get leaderAddress(): string | undefined {
    return this.raft.leader?.peerAddress
  }

  locateLeader(): LeaderView {
    const { leaderAddress } = this
    const { term, members } = this.raft.describe()
    return { leaderAddress, term, memberAddresses: members.map(({ peerAddress }) => peerAddress) }
  }

  /** Executes calls of a leader that uses relays. Errors: throws `unknown-route` if this member has none. */
  handleOrders(batch: OrderBatch): RelayReceipt {
    return this.#requireRelays().relay.handleOrders(batch, this.raft.describe().term)
  }

  /** Hands the leader the outcomes of its calls. Errors: as `handleOrders`. */
  takeAnswers(request: AnswerRequest): Promise<RelayAnswers> {
    return this.#requireRelays().relay.takeAnswers(request, this.raft.describe().term)
  }

  async stop(): Promise<void> {
    this.#stopLeading()
    await this.raft.stop()
    await this.#opts.store.close()
  }

  get #state(): BatchState {
    return this.#machine.state
  }

  #handleStanding({ role, term }: LeadershipState): void {
    if (role === 'leader') void this.#leadOrHandOver(term)
    else this.#stopLeading()
  }

  #stopLeading(): void {
    this.#leader?.stop()
    this.#leader = undefined
    this.#opts.relays?.closeLeaderPort()
  }

  async #leadOrHandOver(term: number): Promise<void> {
    try {
      await this.#lead(term)
    } catch (thrown) {
      this.#opts.logger.error({ event: 'leader.failed', term, ...describeFault(thrown) })
      await this.#handOver(term)
    }
  }

  /** Does the leader's work until it is stopped, once all that was committed in earlier terms is applied. */
  async #lead(term: number): Promise<void> {
    if (!this.#leadsIn(term)) return
    // Opened before the barrier, so that the relays have answered when the upstreams are asked.
    const port = this.#openLeaderPort(term)
    const ready = await this.raft.readBarrier().run()
    if (!this.#leadsIn(term)) return
    if (ready.isLeft()) {
      this.#opts.logger.warn({ event: 'leader.not-ready', term, reason: String(ready.extract()) })
      await this.#opts.clock.sleep(retryAfterMs)
      return this.#lead(term)
    }
    const { clock, logger, metrics, timings, upstreamSpeeds } = this.#opts
    this.#leader?.stop()
    this.#leader = new BatchLeader({
      term,
      clock,
      logger,
      metrics,
      timings,
      port,
      upstreamSpeeds,
      jobClock: this.#jobClock,
      getState: () => this.#state,
      propose: (command) => this.raft.propose(encodeCommand(command)),
      onFailing: () => void this.#handOver(term),
    })
    await this.#leader.run()
  }

  /** Lets another member lead, as this one cannot decide any more. If none takes over, this one goes on. */
  async #handOver(term: number): Promise<void> {
    if (!this.#leadsIn(term)) return
    const isHandedOver = await this.raft.transferLeadership()
    this.#opts.logger.warn({ event: 'leader.gave-up', term, isHandedOver })
  }

  #leadsIn(term: number): boolean {
    const { role, term: nowTerm } = this.raft.describe()
    return role === 'leader' && nowTerm === term
  }

  #openLeaderPort(term: number): UpstreamPort {
    const { relays, port } = this.#opts
    if (relays === undefined) return port
    return relays.openLeaderPort({
      term,
      countUpstreams: () =>
        [...this.#state.upstreams.values()].filter(({ hasLeft }) => !hasLeft).length,
      listMemberAddresses: () => this.raft.describe().members.map(({ peerAddress }) => peerAddress),
    })
  }

  #requireRelays(): RelayService {
    if (this.#opts.relays !== undefined) return this.#opts.relays
    throw new NettlespurError('unknown-route', 'this member carries no calls of a leader')
  }

  /** Errors: throws `not-leader`, with the leader's address as the hint if it is known. */
  #requireLeader(): BatchLeader {
    if (this.#leader !== undefined) return this.#leader
    const { leaderAddress: hint } = this
    throw new NettlespurError('not-leader', `${this.#opts.memberId} does not lead`, {
      hint,
      retryAfterMs,
    })
  }
}
