/** The batch API as the leader serves it to entries, operators and upstreams. Reads are confirmed by a quorum. */
import type { Announcement, ClusterConfig, JobState } from '@nettlespur/batch.model'
import type { Evacuation, EvacuationChange } from '@nettlespur/core.evacuations'
import {
  describeJob,
  encodeCommand,
  type BatchState,
  type Command,
  type CommandOutcome,
  type JobRecord,
} from '@nettlespur/batch.state'
import type { Member, RaftNode } from '@nettlespur/consensus.raft'
import type { Clock } from '@nettlespur/core.clock'
import {
  NettlespurError,
  tryAsync,
  unwrap,
  unwrapEither,
  type RpcResult,
} from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import type { EitherAsync } from 'purify-ts'
import { BatchApi, type JobCall, type QueueCall, type SubmitCall } from './batchApi.js'
import type { BatchLeader } from './batchLeader.js'
import { describeStep } from './describeStep.js'
import { JobAdmission } from './jobAdmission.js'
import { reportEvacuation } from './reportEvacuation.js'
import { createUnknownRouteError, authorizeCall, type AuthorizedCall } from './authorizeCall.js'

/** How soon an overtaken change may be sent again: it is judged by the revision that is current then. */
const overtakenRetryAfterMs = 100
/** Short, since the first configuration arrives within seconds of the first start. */
const configRetryAfterMs = 500

export interface LeaderApiOptions {
  clock: Clock
  raft: Pick<RaftNode<CommandOutcome>, 'addMember' | 'propose' | 'readBarrier'>
  /** Data centres of the settings; those of the upstreams are known besides. */
  dataCentres: readonly string[]
  getState: () => BatchState
  /** Throws `not-leader`. */
  requireLeader: () => BatchLeader
  logger: Logger
  metrics: MetricsRegistry
}

export class LeaderApi extends BatchApi {
  readonly #opts: LeaderApiOptions
  readonly #admission: JobAdmission

  constructor(opts: LeaderApiOptions) {
    super()
    this.#opts = opts
    this.#admission = new JobAdmission({
      getState: opts.getState,
      confirmRead: () => this.#confirmRead(),
    })
    opts.metrics.gauge('jobs_held_size', () => opts.getState().heldSize)
  }

  override submitJob(call: SubmitCall): EitherAsync<NettlespurError, null> {
    return tryAsync(async () => {
      this.#opts.requireLeader()
      const { queue, workspace } = await this.#authorize(call, call.request.jobId)
      const { request } = call
      const queueName = queue.name
      const outcome = await this.#admission.propose(request, () =>
        this.#propose({ type: 'submit-job', request, workspace, queueName }),
      )
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
      if (outcome === 'unknown-queue') throw createUnknownRouteError(call)
      if (outcome !== 'conflict') return null
      throw new NettlespurError('idempotency-conflict', `another job has the id ${jobId}`)
    })
  }

  override cancelJob(call: JobCall): EitherAsync<NettlespurError, null> {
    return tryAsync(async () => {
      this.#opts.requireLeader()
      const job = await this.#findJob(call)
      const { jobId } = job.request
      const outcome = await this.#propose({ type: 'cancel-job', jobId })
      this.#opts.logger.info({ event: 'job.cancelled', jobId, outcome, status: job.status })
      return null
    })
  }

  override getJobState(call: JobCall): EitherAsync<NettlespurError, JobState> {
    return tryAsync(async () => {
      this.#opts.requireLeader()
      await this.#confirmRead()
      const job = await this.#findJob(call)
      return describeJob(job, this.#opts.requireLeader().hasBegun(job))
    })
  }

  override countPending(call: QueueCall): EitherAsync<NettlespurError, number> {
    return tryAsync(async () => {
      this.#opts.requireLeader()
      await this.#confirmRead()
      const { queue } = await this.#authorize(call, '')
      const leader = this.#opts.requireLeader()
      let pending = 0
      for (const job of this.#state.unsettled.values()) {
        const isOfQueue = job.status === 'active' && job.queue.name === queue.name
        if (isOfQueue && !leader.hasBegun(job)) pending += 1
      }
      return pending
    })
  }

  override applyConfig(config: ClusterConfig): EitherAsync<NettlespurError, null> {
    return tryAsync(async () => {
      this.#opts.requireLeader()
      const outcome = await this.#propose({ type: 'apply-config', config })
      const { version } = config
      const held = this.#state.config?.version
      this.#opts.logger.info({ event: 'config.received', version, held, outcome })
      return null
    })
  }

  override readConfig(): EitherAsync<NettlespurError, string> {
    return tryAsync(async () => {
      this.#opts.requireLeader()
      await this.#confirmRead()
      return this.#requireConfig().source
    })
  }

  override listEvacuations(): EitherAsync<NettlespurError, Evacuation[]> {
    return tryAsync(() => {
      this.#opts.requireLeader()
      const { evacuations, upstreams } = this.#state
      const ofUpstreams = [...upstreams.values()].map(({ description }) => description.dataCentre)
      return Promise.resolve(evacuations.listWith([...this.#opts.dataCentres, ...ofUpstreams]))
    })
  }

  override changeEvacuation(change: EvacuationChange): EitherAsync<NettlespurError, null> {
    return tryAsync(async () => {
      this.#opts.requireLeader()
      const outcome = await this.#propose({ type: 'change-evacuation', change })
      reportEvacuation({ ...this.#opts, state: this.#state, change, outcome })
      if (outcome !== 'stale-revision') return null
      const { dataCentre } = change
      throw new NettlespurError('overtaken', `${dataCentre} was changed by another order`, {
        retryAfterMs: overtakenRetryAfterMs,
      })
    })
  }

  override announce(announcement: Announcement): EitherAsync<NettlespurError, null> {
    return tryAsync(async () => {
      await this.#opts.requireLeader().announce(announcement)
      return null
    })
  }

  override announceMany(
    announcements: readonly Announcement[],
  ): EitherAsync<NettlespurError, RpcResult<null>[]> {
    return tryAsync(() => {
      this.#opts.requireLeader()
      return unwrap(super.announceMany(announcements))
    })
  }

  override leave(upstreamId: string): EitherAsync<NettlespurError, null> {
    return tryAsync(async () => {
      await this.#opts.requireLeader().leave(upstreamId)
      return null
    })
  }

  override join(member: Member): EitherAsync<NettlespurError, null> {
    return tryAsync(async () => {
      this.#opts.requireLeader()
      await unwrap(this.#opts.raft.addMember(member))
      return null
    })
  }

  get #state(): BatchState {
    return this.#opts.getState()
  }

  /** Waits until a quorum confirms that the local state is up to date. Errors: throws `no-quorum` and `not-leader`. */
  async #confirmRead(): Promise<void> {
    const { clock, raft, metrics } = this.#opts
    const startMs = clock.monotonicMs()
    const confirmed = await raft.readBarrier().run()
    metrics.recordMs('read_confirmation_ms', clock.monotonicMs() - startMs)
    if (confirmed.isLeft()) metrics.count('read_confirmations_refused_total')
    unwrapEither(confirmed)
  }

  #propose(command: Command): Promise<CommandOutcome> {
    return unwrap(this.#opts.raft.propose(encodeCommand(command)))
  }

  #requireConfig(): ClusterConfig {
    const { config } = this.#state
    if (config !== undefined) return config
    throw new NettlespurError('no-config', 'no configuration has been applied yet', {
      retryAfterMs: configRetryAfterMs,
    })
  }

  /** Authorizes the call. A refusal may rest on stale state, so it is checked again after a confirmed read. */
  async #authorize(call: QueueCall, pathSuffix: string): Promise<AuthorizedCall> {
    const { config } = this.#state
    if (config !== undefined) {
      const known = authorizeCall(config, call, pathSuffix)
      if (!(known instanceof NettlespurError)) return known
    }
    await this.#confirmRead()
    const newest = authorizeCall(this.#requireConfig(), call, pathSuffix)
    if (newest instanceof NettlespurError) throw newest
    return newest
  }

  async #findJob(call: JobCall): Promise<JobRecord> {
    await this.#authorize(call, call.jobId)
    const known = this.#state.jobs.get(call.jobId)
    if (known !== undefined) return known
    await this.#confirmRead()
    const newest = this.#state.jobs.get(call.jobId)
    if (newest !== undefined) return newest
    throw new NettlespurError('unknown-job', `no job ${call.jobId}`)
  }
}
