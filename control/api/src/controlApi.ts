/**
 * The API of control for entries. The control node implements it; entries call it through a client that
 * finds the leader; tests use fakes.
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
} from '@nettlespur/api.schemas'
import type { NettlespurError, RpcResult } from '@nettlespur/core.errors'
import type { Evacuation, EvacuationChange } from '@nettlespur/core.evacuations'
import type { EitherAsync } from 'purify-ts'
import type { Announcements, ClusterUpdate, WatchRequest } from './clusterView.js'
import type { ContractView } from './contractView.js'
import type { ClusterReport, ClusterStatus, MemberView, NewMember } from './statusView.js'

/** Identifies a job within its workspace. A job is not found under any other workspace. */
export interface JobReference {
  readonly workspace: string
  readonly jobId: string
}

/** Requests a job's answer, waiting up to `waitMs` for the job to end. */
export interface AnswerRequest extends JobReference {
  readonly waitMs: number
}

/** The current view of a job, with its answer once it has finished. */
export interface JobOutcome {
  readonly job: JobView
  readonly answer?: JobAnswer | undefined
}

export abstract class ControlApi {
  /** Errors: `stale-revision`, `change-id-conflict`, `infeasible-contract`, `no-quorum`, `not-leader`. */
  abstract applyContract(change: ContractChange): EitherAsync<NettlespurError, ContractRecord>
  /** Lists all contracts, or only that of `workspace`. Errors: `unknown-workspace`. */
  abstract listContracts(workspace?: string): EitherAsync<NettlespurError, ContractView[]>
  /** Every data centre that the leader knows, with the state of its evacuation. */
  abstract listEvacuations(): EitherAsync<NettlespurError, Evacuation[]>
  /** Resolves once the change is stored, or if it is in force already. Errors: `overtaken`. */
  abstract changeEvacuation(change: EvacuationChange): EitherAsync<NettlespurError, null>
  /** Idempotent by the request's job key. Errors: `impossible-shape`, `queue-full`, `idempotency-conflict`. */
  abstract submitJob(request: JobRequest): EitherAsync<NettlespurError, JobView>
  /** Errors: `unknown-job`. */
  abstract getJob(reference: JobReference): EitherAsync<NettlespurError, JobView>
  /** Errors: `unknown-job`, `answer-expired`. */
  abstract awaitAnswer(request: AnswerRequest): EitherAsync<NettlespurError, JobOutcome>
  /** Errors: `unknown-job`. */
  abstract explainJob(reference: JobReference): EitherAsync<NettlespurError, JobExplanation>
  /** Requests cancellation of a job. The returned view may still be `stopping`. Errors: `unknown-job`. */
  abstract cancelJob(reference: JobReference): EitherAsync<NettlespurError, JobView>
  /**
   * Commits claim changes and returns one result for each, in the order given: the claim after the change, or
   * an error. Errors of a single change: `idempotency-conflict`, `over-limit`, `unknown-workspace`,
   * `unknown-job`, `no-quorum`.
   */
  abstract changeClaims(
    changes: readonly ClaimChange[],
  ): EitherAsync<NettlespurError, RpcResult<Claim>[]>
  /** Waits up to `waitMs` for the outcome of a claim and returns the claim; null if the key has none. */
  abstract awaitClaim(query: ClaimQuery): EitherAsync<NettlespurError, Claim | null>
  abstract announce(announcements: Announcements): EitherAsync<NettlespurError, null>
  /** Resolves when something has changed since the request's positions, or after its `waitMs`. */
  abstract watch(request: WatchRequest): EitherAsync<NettlespurError, ClusterUpdate>
  abstract getStatus(): EitherAsync<NettlespurError, ClusterStatus>
  abstract getReport(): EitherAsync<NettlespurError, ClusterReport>
  abstract listMembers(): EitherAsync<NettlespurError, MemberView[]>
  /**
   * Adds a control instance as a learner; it becomes a voter once it has caught up and a voter is needed.
   * Idempotent. Errors: `membership-refused`, `outcome-unknown`.
   */
  abstract addMember(member: NewMember): EitherAsync<NettlespurError, null>
  /** Removes a control instance. Errors: `unknown-member`, `membership-refused`, `outcome-unknown`. */
  abstract removeMember(memberId: string): EitherAsync<NettlespurError, null>
}
