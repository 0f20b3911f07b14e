/**
 * One control instance. It answers calls while it leads; otherwise it refuses every call and hints at the
 * leader's address if it is known. State that only a leader has is kept in a LeaderSession.
 */
import type {
  Claim,
  ClaimChange,
  ClaimQuery,
  ContractChange,
  ContractRecord,
  JobExplanation,
  JobRequest,
  JobView,
} from '@nettlespur/api.schemas'
import {
  ControlApi,
  type Announcements,
  type AnswerRequest,
  type ClusterReport,
  type ClusterStatus,
  type ClusterUpdate,
  type ContractView,
  type JobOutcome,
  type JobReference,
  type MemberView,
  type NewMember,
  type WatchRequest,
} from '@nettlespur/control.api'
import type { Leadership } from '@nettlespur/control.log'
import type { Evacuation, EvacuationChange } from '@nettlespur/core.evacuations'
import { NettlespurError, tryAsync, unwrap, type RpcResult } from '@nettlespur/core.errors'
import type { EitherAsync } from 'purify-ts'
import type { Subscription } from 'rxjs'
import { ClaimCalls } from './claimCalls.js'
import { ContractCalls } from './contractCalls.js'
import { createReport } from './createReport.js'
import { createStatus } from './createStatus.js'
import { EvacuationCalls } from './evacuationCalls.js'
import { JobCalls } from './jobCalls.js'
import { LeaderSession } from './leaderSession.js'
import type { ControlNodeOptions } from './nodeOptions.js'
import { createNotLeaderError } from './notLeaderError.js'
import { watchCluster } from './watchCluster.js'

export class ControlNode extends ControlApi {
  readonly #opts: ControlNodeOptions
  readonly #contracts: ContractCalls
  readonly #leadershipSubscription: Subscription
  #session: LeaderSession | undefined
  #leadership: Leadership | undefined
  /** Resolves when the previous session has stopped; the next session starts only then. */
  #lastSessionEnd: Promise<void> = Promise.resolve()

  constructor(opts: ControlNodeOptions) {
    super()
    this.#opts = opts
    this.#contracts = new ContractCalls(opts)
    opts.metrics.gauge('control_leads', () => Number(this.isLeader))
    opts.metrics.gauge('jobs_live', () => opts.holder.state.listLiveJobs().length)
    opts.metrics.gauge('claims_unresolved', () => opts.holder.state.listUnresolvedClaims().length)
    opts.metrics.gauge('contract_index', () => opts.holder.state.contractIndex)
    this.#leadershipSubscription = opts.log.leadership.subscribe((leadership) => {
      this.#handleLeadership(leadership)
    })
  }

  get isLeader(): boolean {
    return this.#session !== undefined
  }

  /** Whether this instance leads or knows which instance does. */
  get knowsLeader(): boolean {
    return this.isLeader || this.#leadership?.leaderId !== undefined
  }

  /** Ends the leader session, which answers waiting calls. Does not stop the log: its owner does. */
  async stop(): Promise<void> {
    this.#leadershipSubscription.unsubscribe()
    this.#endSession()
    await this.#lastSessionEnd
  }

  applyContract(change: ContractChange): EitherAsync<NettlespurError, ContractRecord> {
    return this.#runAsLeader('applyContract', (session) => this.#contracts.apply(session, change))
  }

  listContracts(workspace?: string): EitherAsync<NettlespurError, ContractView[]> {
    return this.#runAsLeader('listContracts', async (session) => {
      await unwrap(this.#opts.log.readBarrier())
      const records = this.#opts.holder.state
        .listContracts()
        .filter(({ contract }) => workspace === undefined || contract.workspace === workspace)
      if (workspace !== undefined && records.length === 0) {
        throw new NettlespurError('unknown-workspace', `no contract for workspace ${workspace}`)
      }
      return records.map((record) => ({
        ...record,
        ...session.entries.splitByChange(record.changeIndex),
      }))
    })
  }

  listEvacuations(): EitherAsync<NettlespurError, Evacuation[]> {
    return this.#runAsLeader('listEvacuations', (session) =>
      new EvacuationCalls(this.#opts, session).list(),
    )
  }

  changeEvacuation(change: EvacuationChange): EitherAsync<NettlespurError, null> {
    return this.#runAsLeader('changeEvacuation', (session) =>
      new EvacuationCalls(this.#opts, session).change(change),
    )
  }

  submitJob(request: JobRequest): EitherAsync<NettlespurError, JobView> {
    return this.#runAsLeader('submitJob', (session) =>
      new JobCalls(this.#opts, session).submit(request),
    )
  }

  getJob(reference: JobReference): EitherAsync<NettlespurError, JobView> {
    return this.#runAsLeader('getJob', (session) =>
      new JobCalls(this.#opts, session).get(reference),
    )
  }

  awaitAnswer(request: AnswerRequest): EitherAsync<NettlespurError, JobOutcome> {
    return this.#runAsLeader('awaitAnswer', (session) =>
      new JobCalls(this.#opts, session).awaitAnswer(request),
    )
  }

  explainJob(reference: JobReference): EitherAsync<NettlespurError, JobExplanation> {
    return this.#runAsLeader('explainJob', (session) =>
      new JobCalls(this.#opts, session).explain(reference),
    )
  }

  cancelJob(reference: JobReference): EitherAsync<NettlespurError, JobView> {
    return this.#runAsLeader('cancelJob', (session) =>
      new JobCalls(this.#opts, session).cancel(reference),
    )
  }

  changeClaims(changes: readonly ClaimChange[]): EitherAsync<NettlespurError, RpcResult<Claim>[]> {
    return this.#runAsLeader('changeClaims', (session) =>
      new ClaimCalls(this.#opts, session).change(changes),
    )
  }

  awaitClaim(query: ClaimQuery): EitherAsync<NettlespurError, Claim | null> {
    return this.#runAsLeader('awaitClaim', (session) =>
      new ClaimCalls(this.#opts, session).awaitClaim(query),
    )
  }

  announce(announcements: Announcements): EitherAsync<NettlespurError, null> {
    return this.#runAsLeader('announce', (session) => {
      session.announce(announcements)
      return Promise.resolve(null)
    })
  }

  watch(request: WatchRequest): EitherAsync<NettlespurError, ClusterUpdate> {
    return this.#runAsLeader('watch', (session) => watchCluster(this.#opts, session, request))
  }

  getStatus(): EitherAsync<NettlespurError, ClusterStatus> {
    return this.#runAsLeader('getStatus', (session) =>
      Promise.resolve(createStatus(this.#opts, session)),
    )
  }

  getReport(): EitherAsync<NettlespurError, ClusterReport> {
    return this.#runAsLeader('getReport', async (session) => {
      await unwrap(this.#opts.log.readBarrier())
      const { holder, clock } = this.#opts
      return createReport(holder.state, session.upstreams.list(), clock.now())
    })
  }

  listMembers(): EitherAsync<NettlespurError, MemberView[]> {
    return this.#runAsLeader('listMembers', () =>
      Promise.resolve([...this.#opts.log.describe().members]),
    )
  }

  addMember(member: NewMember): EitherAsync<NettlespurError, null> {
    return this.#runAsLeader('addMember', async () => {
      await unwrap(this.#opts.log.addMember(member))
      this.#opts.logger.info({ event: 'member.added', ...member })
      return null
    })
  }

  removeMember(memberId: string): EitherAsync<NettlespurError, null> {
    return this.#runAsLeader('removeMember', async () => {
      await unwrap(this.#opts.log.removeMember(memberId))
      this.#opts.logger.info({ event: 'member.removed', memberId })
      return null
    })
  }

  /** Counts the call and runs it in the current session. Fails with `not-leader` if there is none. */
  #runAsLeader<T>(
    call: keyof ControlApi,
    run: (session: LeaderSession) => Promise<T>,
  ): EitherAsync<NettlespurError, T> {
    return tryAsync(() => {
      this.#opts.metrics.count(`control_calls_total{call="${call}"}`)
      if (this.#session !== undefined) return run(this.#session)
      return Promise.reject(createNotLeaderError(this.#opts.instanceId, this.#leadership))
    })
  }

  #handleLeadership(leadership: Leadership): void {
    this.#leadership = leadership
    const { isLeader, term } = leadership
    if (this.#session !== undefined && (!isLeader || this.#session.term !== term)) {
      this.#endSession()
    }
    if (isLeader && this.#session === undefined) this.#startSession(term)
  }

  #startSession(term: number): void {
    const session = new LeaderSession(this.#opts, term)
    this.#session = session
    this.#opts.logger.info({ event: 'control.leads', term, epoch: session.epoch })
    this.#lastSessionEnd = this.#lastSessionEnd.then(() => {
      if (this.#session === session) session.start()
    })
  }

  #endSession(): void {
    const session = this.#session
    if (session === undefined) return
    this.#session = undefined
    this.#opts.logger.info({ event: 'control.leads-no-more', term: session.term })
    const stopped = session.stop()
    this.#lastSessionEnd = this.#lastSessionEnd.then(() => stopped)
  }
}
