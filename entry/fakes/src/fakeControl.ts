/**
 * An in-memory control for tests of entries. It applies contracts by compare-and-set and counts all changes. A test can
 * let its calls fail, or start a new epoch.
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
import {
  EvacuationTable,
  type Evacuation,
  type EvacuationChange,
} from '@nettlespur/core.evacuations'
import type { EitherAsync } from 'purify-ts'
import { emptyReport } from './emptyReport.js'
import { FakeClaims } from './fakeClaims.js'
import { FakeJobs } from './fakeJobs.js'
import { StateVersion } from './stateVersion.js'

const defaultContractLeaseMs = 4000

export class FakeControl extends ControlApi {
  contractLeaseMs = defaultContractLeaseMs
  epoch = 'first'
  /** If set, every call fails with this kind of error. */
  failure: ErrorKind | undefined
  /** Number of changes applied: contracts, jobs, cancellations, announcements and members. */
  changes = 0
  readonly announced: Announcements[] = []
  readonly watched: WatchRequest[] = []
  readonly contracts = new Map<string, ContractRecord>()
  readonly upstreams = new Map<string, UpstreamView>()
  readonly claims: FakeClaims
  entries: EntryIdentity[] = []
  members: MemberView[] = []
  /** Ids of the entries that contract views list as not enforcing the contract yet. */
  notYetInForceAt: string[] = []
  readonly #clock: Clock
  readonly #jobs = new FakeJobs()
  readonly #version: StateVersion
  #changeIndex = 0
  readonly evacuations = new EvacuationTable([])

  constructor(clock: Clock) {
    super()
    this.#clock = clock
    this.claims = new FakeClaims(clock)
    this.#version = new StateVersion(clock)
  }

  get jobs(): ReadonlyMap<string, JobOutcome> {
    return this.#jobs.byId
  }

  putContract(contract: ContractRecord['contract']): ContractRecord {
    const revision = (this.contracts.get(contract.workspace)?.revision ?? 0) + 1
    const record = { contract, revision, changeIndex: ++this.#changeIndex }
    this.contracts.set(contract.workspace, record)
    this.#version.increment()
    return record
  }

  putUpstream(upstream: UpstreamView): void {
    this.upstreams.set(upstream.upstreamId, upstream)
    this.#version.increment()
  }

  /** Returns the whole state, as an entry gets it that holds none yet. */
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
      const standing = { inForceAt: ['entry-1'], notYetInForceAt: this.notYetInForceAt }
      return records.map((record) => ({ ...record, ...standing }))
    })
  }

  listEvacuations(): EitherAsync<NettlespurError, Evacuation[]> {
    return this.#answer(() =>
      this.evacuations.listWith([...this.upstreams.values()].map(({ dataCentre }) => dataCentre)),
    )
  }

  changeEvacuation(change: EvacuationChange): EitherAsync<NettlespurError, null> {
    return this.#answer(() => {
      this.evacuations.change(change)
      return null
    })
  }

  submitJob(request: JobRequest): EitherAsync<NettlespurError, JobView> {
    return this.#answer(() => {
      this.changes += 1
      return this.#jobs.add(`job-${this.changes}`, request, this.#clock.now())
    })
  }

  /** Changes a job's state, on behalf of a test. */
  setJob(jobId: string, change: Partial<JobView>, answer?: JobAnswer): void {
    this.#jobs.change(jobId, change, answer)
    this.#version.increment()
  }

  getJob(reference: JobReference): EitherAsync<NettlespurError, JobView> {
    return this.#answer(() => this.#jobs.find(reference).job)
  }

  awaitAnswer(request: AnswerRequest): EitherAsync<NettlespurError, JobOutcome> {
    return tryAsync(async () => {
      this.#requireReachable()
      const before = this.#jobs.find(request)
      if (request.waitMs > 0 && before.answer === undefined)
        await this.#version.awaitChange(request.waitMs)
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
      const isCurrent =
        request.epoch === this.epoch && request.upstreamVersion === this.#version.value
      if (isCurrent && request.waitMs > 0) await this.#version.awaitChange(request.waitMs)
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
    return this.#answer(() => emptyReport)
  }

  #answer<T>(run: () => T): EitherAsync<NettlespurError, T> {
    return tryAsync(() => {
      this.#requireReachable()
      return Promise.resolve(run())
    })
  }

  #requireReachable(): void {
    if (this.failure !== undefined)
      throw new NettlespurError(this.failure, 'the test made this call fail')
  }
}
