/**
 * What control offers to entries. The control node implements it; entries call it through a client that
 * finds the leader; tests give fakes.
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
import type { EitherAsync } from 'purify-ts'
import type { Announcements, ClusterUpdate, WatchRequest } from './clusterView.js'
import type { ContractView } from './contractView.js'
import type { ClusterReport, ClusterStatus } from './statusView.js'

/** Names one job of one workspace: a caller of another workspace finds nothing. */
export interface JobReference {
  readonly workspace: string
  readonly jobId: string
}

/** Asks for a job's answer, waiting up to `waitMs` for the job to end. */
export interface AnswerRequest extends JobReference {
  readonly waitMs: number
}

/** The job as it stands, with its answer once it has finished. */
export interface JobOutcome {
  readonly job: JobView
  readonly answer?: JobAnswer | undefined
}

export abstract class ControlApi {
  /** Errors: `stale-revision`, `change-id-conflict`, `infeasible-contract`, `no-quorum`, `not-leader`. */
  abstract applyContract(change: ContractChange): EitherAsync<NettlespurError, ContractRecord>
  /** All contracts, or the one named. Errors: `unknown-workspace`. */
  abstract listContracts(workspace?: string): EitherAsync<NettlespurError, ContractView[]>
  /** Idempotent by the request's job key. Errors: `impossible-shape`, `queue-full`, `idempotency-conflict`. */
  abstract submitJob(request: JobRequest): EitherAsync<NettlespurError, JobView>
  /** Errors: `unknown-job`. */
  abstract getJob(reference: JobReference): EitherAsync<NettlespurError, JobView>
  /** Errors: `unknown-job`, `answer-expired`. */
  abstract awaitAnswer(request: AnswerRequest): EitherAsync<NettlespurError, JobOutcome>
  /** Errors: `unknown-job`. */
  abstract explainJob(reference: JobReference): EitherAsync<NettlespurError, JobExplanation>
  /** Asks for the job's end; the view may still say `stopping`. Errors: `unknown-job`. */
  abstract cancelJob(reference: JobReference): EitherAsync<NettlespurError, JobView>
  /**
   * Commits changes of claims, each with its own result in the order given: the claim as it then stands.
   * Errors of one: `idempotency-conflict`, `over-limit`, `unknown-workspace`, `unknown-job`, `no-quorum`.
   */
  abstract changeClaims(
    changes: readonly ClaimChange[],
  ): EitherAsync<NettlespurError, RpcResult<Claim>[]>
  /** The claim of a key, or null where there is none; waits for its outcome up to `waitMs`. */
  abstract awaitClaim(query: ClaimQuery): EitherAsync<NettlespurError, Claim | null>
  abstract announce(announcements: Announcements): EitherAsync<NettlespurError, null>
  /** Answers when something changed since the request's positions, or after its `waitMs`. */
  abstract watch(request: WatchRequest): EitherAsync<NettlespurError, ClusterUpdate>
  abstract getStatus(): EitherAsync<NettlespurError, ClusterStatus>
  abstract getReport(): EitherAsync<NettlespurError, ClusterReport>
}
