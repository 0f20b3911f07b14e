/**
 * Control in memory, for tests of entries. It keeps contracts by compare-and-set and jobs by key, counts
 * every change it takes, and can be made unreachable or move to a new epoch.
 */
import type {
  Claim,
  ClaimChange,
  ClaimQuery,
  ContractChange,
  ContractRecord,
  JobAnswer,
  JobExplanation,
  JobRequest,
  JobView,
  UpstreamView,
} from '@nettlespur/api.schemas'
import {
  ControlApi,
  type AnswerRequest,
  type Announcements,
  type ClusterReport,
  type ClusterStatus,
  type ClusterUpdate,
  type ContractView,
  type EntryIdentity,
  type JobOutcome,
  type JobReference,
  type MemberView,
  type NewMember,
  type WatchRequest,
} from '@nettlespur/control.api'
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError, tryAsync, type ErrorKind, type RpcResult } from '@nettlespur/core.errors'
import type { EitherAsync } from 'purify-ts'
import { BehaviorSubject } from 'rxjs'
import { FakeClaims } from './fakeClaims.js'
import { FakeJobs } from './fakeJobs.js'

const fullLeaseMs = 4000

export class FakeControl extends ControlApi {
  contractLeaseMs = fullLeaseMs
  epoch = 'first'
  /** Set, every call fails with this kind. */
  failure: ErrorKind | undefined
  /** Changes taken: contracts, jobs, cancellations and announcements. */
  changes = 0
  readonly announced: Announcements[] = []
  readonly watched: WatchRequest[] = []
  readonly contracts = new Map<string, ContractRecord>()
  readonly upstreams = new Map<string, UpstreamView>()
  readonly claims: FakeClaims
  entries: EntryIdentity[] = []
  members: MemberView[] = []
  /** Entries that a contract view says do not enforce it yet. */
  notYetInForceAt: string[] = []
  readonly #clock: Clock
  readonly #jobs = new FakeJobs()
  readonly #version = new BehaviorSubject(0)
  #changeIndex = 0

  constructor(clock: Clock) {
    super()
    this.#clock = clock
    this.claims = new FakeClaims(clock)
  }

  get jobs(): ReadonlyMap<string, JobOutcome> {
    return this.#jobs.byId
  }

  putContract(contract: ContractRecord['contract']): ContractRecord {
    const revision = (this.contracts.get(contract.workspace)?.revision ?? 0) + 1
    const record = { contract, revision, changeIndex: ++this.#changeIndex }
    this.contracts.set(contract.workspace, record)
    this.#version.next(this.#version.value + 1)
    return record
  }

  putUpstream(upstream: UpstreamView): void {
    this.upstreams.set(upstream.upstreamId, upstream)
    this.#version.next(this.#version.value + 1)
  }

  /** Everything it holds, as an entry that knows nothing gets it. */
  createUpdate(): ClusterUpdate {
    return {
      epoch: this.epoch,
      contractIndex: this.#changeIndex,
      contracts: [...this.contracts.values()],
      upstreamVersion: this.#version.value,
      upstreams: [...this.upstreams.values()],
      entries: this.entries,
      contractLeaseMs: this.contractLeaseMs,
    }
  }

  applyContract(change: ContractChange): EitherAsync<NettlespurError, ContractRecord> {
    return this.#answer(() => {
      const revision = this.contracts.get(change.contract.workspace)?.revision ?? 0
      if (revision !== change.expectedRevision) {
        throw new NettlespurError('stale-revision', `the revision is ${revision}`)
      }
      this.changes += 1
      return this.putContract(change.contract)
    })
  }

  listContracts(workspace?: string): EitherAsync<NettlespurError, ContractView[]> {
    return this.#answer(() => {
      const records = [...this.contracts.values()].filter(
        ({ contract }) => workspace === undefined || contract.workspace === workspace,
      )
      if (workspace !== undefined && records.length === 0) {
        throw new NettlespurError('unknown-workspace', workspace)
      }
      const { notYetInForceAt } = this
      return records.map((record) => ({ ...record, inForceAt: ['entry-1'], notYetInForceAt }))
    })
  }

  submitJob(request: JobRequest): EitherAsync<NettlespurError, JobView> {
    return this.#answer(() => {
      this.changes += 1
      return this.#jobs.add(`job-${this.changes}`, request, this.#clock.now())
    })
  }

  /** Ends or moves a job, for a test. */
  setJob(jobId: string, change: Partial<JobView>, answer?: JobAnswer): void {
    this.#jobs.change(jobId, change, answer)
    this.#version.next(this.#version.value + 1)
  }

  getJob(reference: JobReference): EitherAsync<NettlespurError, JobView> {
    return this.#answer(() => this.#jobs.find(reference).job)
  }

  awaitAnswer(request: AnswerRequest): EitherAsync<NettlespurError, JobOutcome> {
    return tryAsync(async () => {
      this.#requireReachable()
      const before = this.#jobs.find(request)
      if (request.waitMs > 0 && before.answer === undefined) await this.#change(request.waitMs)
      return this.#jobs.find(request)
    })
  }

  explainJob(reference: JobReference): EitherAsync<NettlespurError, JobExplanation> {
    return this.#answer(() => {
      const { job } = this.#jobs.find(reference)
      return { job, waitsFor: [job.reason], decisions: [] }
    })
  }

  cancelJob(reference: JobReference): EitherAsync<NettlespurError, JobView> {
    return this.#answer(() => {
      const { job } = this.#jobs.find(reference)
      this.changes += 1
      this.setJob(job.jobId, { state: 'cancelled', reason: 'cancelled by its caller' })
      return this.#jobs.find(reference).job
    })
  }

  changeClaims(changes: readonly ClaimChange[]): EitherAsync<NettlespurError, RpcResult<Claim>[]> {
    return tryAsync(() => {
      this.#requireReachable()
      return this.claims.changeAll(changes)
    })
  }

  awaitClaim({ waitMs, ...key }: ClaimQuery): EitherAsync<NettlespurError, Claim | null> {
    return tryAsync(async () => {
      this.#requireReachable()
      await this.claims.awaitOutcome(key, waitMs)
      this.#requireReachable()
      return this.claims.get(key) ?? null
    })
  }

  announce(announcements: Announcements): EitherAsync<NettlespurError, null> {
    return this.#answer(() => {
      this.changes += 1
      this.announced.push(announcements)
      return null
    })
  }

  watch(request: WatchRequest): EitherAsync<NettlespurError, ClusterUpdate> {
    return tryAsync(async () => {
      this.#requireReachable()
      this.watched.push(request)
      const current =
        request.epoch === this.epoch && request.upstreamVersion === this.#version.value
      if (current && request.waitMs > 0) await this.#change(request.waitMs)
      this.#requireReachable()
      return this.createUpdate()
    })
  }

  getStatus(): EitherAsync<NettlespurError, ClusterStatus> {
    return this.#answer(() => ({
      term: 1,
      commitIndex: this.#changeIndex,
      members: [],
      entries: [],
      upstreams: [...this.upstreams.values()],
      jobs: {},
    }))
  }

  listMembers(): EitherAsync<NettlespurError, MemberView[]> {
    return this.#answer(() => this.members)
  }

  addMember(member: NewMember): EitherAsync<NettlespurError, null> {
    return this.#answer(() => {
      this.changes += 1
      this.members.push({ ...member, role: 'learner', lagEntries: 0, silentMs: 0 })
      return null
    })
  }

  removeMember(memberId: string): EitherAsync<NettlespurError, null> {
    return this.#answer(() => {
      const kept = this.members.filter((member) => member.memberId !== memberId)
      if (kept.length === this.members.length) throw new NettlespurError('unknown-member', memberId)
      this.changes += 1
      this.members = kept
      return null
    })
  }

  getReport(): EitherAsync<NettlespurError, ClusterReport> {
    const completion = { count: 0, meanMs: 0, p50Ms: 0, p99Ms: 0 }
    return this.#answer(() => ({
      cluster: { completion, freeAccelerators: 0, totalAccelerators: 0 },
      workspaces: [],
      fragmentation: [],
    }))
  }

  #answer<T>(run: () => T): EitherAsync<NettlespurError, T> {
    return tryAsync(() => {
      this.#requireReachable()
      return Promise.resolve(run())
    })
  }

  #requireReachable(): void {
    if (this.failure !== undefined) throw new NettlespurError(this.failure, 'made to fail')
  }

  /** Resolves at the next change, or after `waitMs`. */
  async #change(waitMs: number): Promise<void> {
    const changed = new AbortController()
    const before = this.#version.value
    const watching = this.#version.subscribe((version) => {
      if (version !== before) changed.abort()
    })
    await this.#clock.sleep(waitMs, changed.signal)
    watching.unsubscribe()
  }
}
