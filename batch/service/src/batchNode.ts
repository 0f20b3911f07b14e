/**
 * One member of control for batch work: its part in agreement, the state, and while it leads the work of
 * the leader. Calls that only a leader can answer are refused with the leader's address.
 */
import { type Announcement, type ClusterConfig, type JobState } from '@nettlespur/batch.model'
import type { UpstreamPort } from '@nettlespur/batch.sessions'
import {
  BatchMachine,
  describeJob,
  encodeCommand,
  type BatchState,
  type Command,
  type CommandOutcome,
  type JobRecord,
} from '@nettlespur/batch.state'
import {
  RaftNode,
  type Member,
  type RaftTransport,
  type Standing,
} from '@nettlespur/consensus.raft'
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError, tryAsync, unwrap } from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import type { LogStore } from '@nettlespur/storage.log'
import type { EitherAsync } from 'purify-ts'
import {
  BatchApi,
  type JobCall,
  type LeaderView,
  type QueueCall,
  type SubmitCall,
} from './batchApi.js'
import { BatchLeader } from './batchLeader.js'
import type { BatchTimings } from './batchTimings.js'
import { describeStep } from './describeStep.js'
import { createUnknownQueue, judgeCall, type Authorized } from './judgeCall.js'

/** A caller that finds no leader comes again when one may have been elected. */
const retryAfterMs = 500

export interface BatchNodeOptions {
  memberId: string
  /** The founders of the group; none for an instance that waits to be added. */
  initialMembers: readonly Member[]
  clock: Clock
  logger: Logger
  metrics: MetricsRegistry
  /** Closed with the node. */
  store: LogStore
  transport: RaftTransport
  port: UpstreamPort
  timings: BatchTimings
}

export class BatchNode extends BatchApi {
  readonly raft: RaftNode<CommandOutcome>
  readonly #opts: BatchNodeOptions
  readonly #machine: BatchMachine
  #leader: BatchLeader | undefined

  private constructor(
    opts: BatchNodeOptions,
    raft: RaftNode<CommandOutcome>,
    machine: BatchMachine,
  ) {
    super()
    this.#opts = opts
    this.raft = raft
    this.#machine = machine
    machine.applied.subscribe(() => this.#leader?.noteChange())
    raft.standing.subscribe((standing) => {
      this.#follow(standing)
    })
  }

  /** Errors: rejects with `storage-damaged` and `storage-failed`. */
  static async open(opts: BatchNodeOptions): Promise<BatchNode> {
    const machine = new BatchMachine()
    const { memberId, initialMembers, clock, logger, store, transport, timings } = opts
    const raft = await RaftNode.open({
      memberId,
      initialMembers,
      clock,
      logger,
      store,
      transport,
      machine,
      timings: timings.raft,
      // The platform may suspend an instance, and its steady clock does not count that time.
      leaseReads: false,
    })
    return new BatchNode(opts, raft, machine)
  }

  get isLeader(): boolean {
    return this.#leader !== undefined
  }

  /** This instance is in the membership as it knows it. */
  get isMember(): boolean {
    return this.raft.describe().members.some(({ memberId }) => memberId === this.#opts.memberId)
  }

  locateLeader(): LeaderView {
    const { leaderId, term, members } = this.raft.describe()
    const leaderAddress = members.find(({ memberId }) => memberId === leaderId)?.peerAddress
    return { leaderAddress, term, memberAddresses: members.map(({ peerAddress }) => peerAddress) }
  }

  override submitJob(call: SubmitCall): EitherAsync<NettlespurError, null> {
    return tryAsync(async () => {
      this.#requireLeader()
      const { queue, workspace } = await this.#authorize(call, call.request.jobId)
      const { request } = call
      const queueName = queue.name
      const outcome = await this.#propose({ type: 'submit-job', request, workspace, queueName })
      const { jobId } = request
      this.#opts.logger.info({
        event: 'job.submitted',
        jobId,
        workspace,
        queue: queueName,
        outcome,
        steps: request.steps.map(describeStep),
      })
      this.#opts.metrics.count(`jobs_submitted_${outcome}_total`)
      if (outcome === 'unknown-queue') throw createUnknownQueue(call)
      if (outcome !== 'conflict') return null
      throw new NettlespurError('idempotency-conflict', `another job has the id ${jobId}`)
    })
  }

  override cancelJob(call: JobCall): EitherAsync<NettlespurError, null> {
    return tryAsync(async () => {
      this.#requireLeader()
      const job = await this.#findJob(call)
      const { jobId } = job.request
      const outcome = await this.#propose({ type: 'cancel-job', jobId })
      this.#opts.logger.info({ event: 'job.cancelled', jobId, outcome, status: job.status })
      return null
    })
  }

  override getJobState(call: JobCall): EitherAsync<NettlespurError, JobState> {
    return tryAsync(async () => {
      this.#requireLeader()
      await unwrap(this.raft.readBarrier())
      return describeJob(await this.#findJob(call))
    })
  }

  override countPending(call: QueueCall): EitherAsync<NettlespurError, number> {
    return tryAsync(async () => {
      this.#requireLeader()
      await unwrap(this.raft.readBarrier())
      const { queue } = await this.#authorize(call, '')
      let pending = 0
      for (const job of this.#state.unsettled.values()) {
        const waits = job.status === 'active' && !job.hasStarted
        if (waits && job.queue.name === queue.name) pending += 1
      }
      return pending
    })
  }

  override applyConfig(config: ClusterConfig): EitherAsync<NettlespurError, null> {
    return tryAsync(async () => {
      this.#requireLeader()
      const outcome = await this.#propose({ type: 'apply-config', config })
      const { version } = config
      const held = this.#state.config?.version
      this.#opts.logger.info({ event: 'config.received', version, held, outcome })
      return null
    })
  }

  override readConfig(): EitherAsync<NettlespurError, string> {
    return tryAsync(async () => {
      this.#requireLeader()
      await unwrap(this.raft.readBarrier())
      return this.#requireConfig().source
    })
  }

  override announce(announcement: Announcement): EitherAsync<NettlespurError, null> {
    return tryAsync(async () => {
      await this.#requireLeader().announce(announcement)
      return null
    })
  }

  override leave(upstreamId: string): EitherAsync<NettlespurError, null> {
    return tryAsync(async () => {
      await this.#requireLeader().leave(upstreamId)
      return null
    })
  }

  override join(member: Member): EitherAsync<NettlespurError, null> {
    return tryAsync(async () => {
      this.#requireLeader()
      await unwrap(this.raft.addMember(member))
      return null
    })
  }

  async stop(): Promise<void> {
    this.#leader?.stop()
    this.#leader = undefined
    await this.raft.stop()
    await this.#opts.store.close()
  }

  get #state(): BatchState {
    return this.#machine.state
  }

  #follow({ role, term }: Standing): void {
    if (role === 'leader') void this.#lead(term)
    else this.#endLeading()
  }

  #endLeading(): void {
    this.#leader?.stop()
    this.#leader = undefined
  }

  /** Nothing is answered or decided before all that was committed earlier is applied. */
  async #lead(term: number): Promise<void> {
    const ready = await this.raft.readBarrier().run()
    const { role, term: nowTerm } = this.raft.describe()
    if (role !== 'leader' || nowTerm !== term) return
    if (ready.isLeft()) {
      this.#opts.logger.warn({ event: 'leader.not-ready', term, reason: String(ready.extract()) })
      await this.#opts.clock.sleep(retryAfterMs)
      return this.#lead(term)
    }
    const { clock, logger, metrics, port, timings } = this.#opts
    this.#endLeading()
    this.#leader = new BatchLeader({
      term,
      clock,
      logger,
      metrics,
      timings,
      port,
      getState: () => this.#state,
      propose: (command) => this.raft.propose(encodeCommand(command)),
    })
    this.#leader.start()
  }

  #propose(command: Command): Promise<CommandOutcome> {
    return unwrap(this.raft.propose(encodeCommand(command)))
  }

  /** Errors: throws `not-leader`; its hint is the leader's address, where that is known. */
  #requireLeader(): BatchLeader {
    if (this.#leader !== undefined) return this.#leader
    const { leaderAddress: hint } = this.locateLeader()
    throw new NettlespurError('not-leader', `${this.#opts.memberId} does not lead`, {
      hint,
      retryAfterMs,
    })
  }

  #requireConfig(): ClusterConfig {
    const { config } = this.#state
    if (config !== undefined) return config
    throw new NettlespurError('no-config', 'no configuration has been applied yet', {
      retryAfterMs,
    })
  }

  /** What the state refuses is looked up again once it is sure to be the newest. */
  async #authorize(call: QueueCall, rest: string): Promise<Authorized> {
    const known = judgeCall(this.#requireConfig(), call, rest)
    if (!(known instanceof NettlespurError)) return known
    await unwrap(this.raft.readBarrier())
    const newest = judgeCall(this.#requireConfig(), call, rest)
    if (newest instanceof NettlespurError) throw newest
    return newest
  }

  async #findJob(call: JobCall): Promise<JobRecord> {
    await this.#authorize(call, call.jobId)
    const known = this.#state.jobs.get(call.jobId)
    if (known !== undefined) return known
    await unwrap(this.raft.readBarrier())
    const newest = this.#state.jobs.get(call.jobId)
    if (newest !== undefined) return newest
    throw new NettlespurError('unknown-job', `no job ${call.jobId}`)
  }
}
