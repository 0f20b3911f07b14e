/**
 * A ControlApi client that calls the control instances over tRPC. Calls go first to the instance that last
 * answered as leader, then to the others in turn if that one is unreachable or no longer leads.
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
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError, type RpcResult } from '@nettlespur/core.errors'
import type { Evacuation, EvacuationChange } from '@nettlespur/core.evacuations'
import { callPeer, createRpcClient, type RpcClient } from '@nettlespur/rpc.peer'
import { EitherAsync, Left, type Either } from 'purify-ts'
import type { Announcements, ClusterUpdate, WatchRequest } from './clusterView.js'
import type { ContractView } from './contractView.js'
import { ControlApi, type AnswerRequest, type JobOutcome, type JobReference } from './controlApi.js'
import type { ControlRouter } from './createControlRouter.js'
import type { ClusterReport, ClusterStatus, MemberView, NewMember } from './statusView.js'

export interface RemoteControlApiOptions {
  clock: Clock
  /** Peer addresses of all control instances. */
  addresses: readonly string[]
  peerKey: string
  /** Deadline of each call, in milliseconds; for long polls their own wait is added to it. */
  timeoutMs: number
  ca?: Buffer | undefined
}

type Caller = RpcClient<ControlRouter>['call']

/** Error kinds after which a call is safe to try on another instance, since this one did nothing. */
const failoverErrorKinds = new Set(['not-leader', 'unreachable'])

export class RemoteControlApi extends ControlApi {
  readonly #clients: readonly RpcClient<ControlRouter>[]
  #preferredIndex = 0

  constructor(opts: RemoteControlApiOptions) {
    super()
    const { addresses, ...rest } = opts
    this.#clients = addresses.map((address) => createRpcClient<ControlRouter>({ ...rest, address }))
  }

  close(): void {
    for (const client of this.#clients) client.close()
  }

  applyContract(change: ContractChange): EitherAsync<NettlespurError, ContractRecord> {
    return this.#call((call) => call.applyContract.mutate(change))
  }

  listContracts(workspace?: string): EitherAsync<NettlespurError, ContractView[]> {
    return this.#call((call) => call.listContracts.mutate({ workspace }))
  }

  listEvacuations(): EitherAsync<NettlespurError, Evacuation[]> {
    return this.#call((call) => call.listEvacuations.mutate())
  }

  changeEvacuation(change: EvacuationChange): EitherAsync<NettlespurError, null> {
    return this.#call((call) => call.changeEvacuation.mutate(change))
  }

  submitJob(request: JobRequest): EitherAsync<NettlespurError, JobView> {
    return this.#call((call) => call.submitJob.mutate(request))
  }

  getJob(reference: JobReference): EitherAsync<NettlespurError, JobView> {
    return this.#call((call) => call.getJob.mutate(reference))
  }

  awaitAnswer(request: AnswerRequest): EitherAsync<NettlespurError, JobOutcome> {
    return this.#call((call) => call.awaitAnswer.mutate(request))
  }

  explainJob(reference: JobReference): EitherAsync<NettlespurError, JobExplanation> {
    return this.#call((call) => call.explainJob.mutate(reference))
  }

  cancelJob(reference: JobReference): EitherAsync<NettlespurError, JobView> {
    return this.#call((call) => call.cancelJob.mutate(reference))
  }

  changeClaims(changes: readonly ClaimChange[]): EitherAsync<NettlespurError, RpcResult<Claim>[]> {
    return this.#call((call) => call.changeClaims.mutate([...changes]))
  }

  awaitClaim(query: ClaimQuery): EitherAsync<NettlespurError, Claim | null> {
    return this.#call((call) => call.awaitClaim.mutate(query))
  }

  announce(announcements: Announcements): EitherAsync<NettlespurError, null> {
    return this.#call((call) => call.announce.mutate(announcements))
  }

  watch(request: WatchRequest): EitherAsync<NettlespurError, ClusterUpdate> {
    return this.#call((call) => call.watch.mutate(request))
  }

  getStatus(): EitherAsync<NettlespurError, ClusterStatus> {
    return this.#call((call) => call.getStatus.mutate())
  }

  getReport(): EitherAsync<NettlespurError, ClusterReport> {
    return this.#call((call) => call.getReport.mutate())
  }

  listMembers(): EitherAsync<NettlespurError, MemberView[]> {
    return this.#call((call) => call.listMembers.mutate())
  }

  addMember(member: NewMember): EitherAsync<NettlespurError, null> {
    return this.#call((call) => call.addMember.mutate(member))
  }

  removeMember(memberId: string): EitherAsync<NettlespurError, null> {
    return this.#call((call) => call.removeMember.mutate(memberId))
  }

  #call<T>(run: (call: Caller) => Promise<RpcResult<T>>): EitherAsync<NettlespurError, T> {
    return EitherAsync.fromPromise(() => this.#callWithFailover(run))
  }

  async #callWithFailover<T>(
    run: (call: Caller) => Promise<RpcResult<T>>,
  ): Promise<Either<NettlespurError, T>> {
    const first = this.#preferredIndex
    let last: Either<NettlespurError, T> = Left(
      new NettlespurError('unreachable', 'no control instance is configured'),
    )
    for (let step = 0; step < this.#clients.length; step++) {
      const index = (first + step) % this.#clients.length
      const client = this.#clients[index]
      if (client === undefined) continue
      last = await callPeer(() => run(client.call)).run()
      const error = last.swap().toMaybe().extractNullable()
      if (error === null || !failoverErrorKinds.has(error.kind)) {
        // An instance that left the outcome unknown may be partitioned, so the next call starts at another one.
        this.#preferredIndex = error?.kind === 'outcome-unknown' ? index + 1 : index
        return last
      }
    }
    return last
  }
}
