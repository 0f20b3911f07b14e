/**
 * Calls the leader from wherever it is asked. It remembers who leads, asks all members it knows of where
 * that one does not answer, and goes on until the call's time is up. What is told then is true: a call that
 * may have reached a leader ends as `outcome-unknown`, and any other as not run.
 */
import type { Announcement, ClusterConfig, JobState } from '@nettlespur/batch.model'
import type { Member } from '@nettlespur/consensus.raft'
import type { Clock } from '@nettlespur/core.clock'
import {
  NettlespurError,
  toNettlespurError,
  tryAsync,
  unwrap,
  type RpcResult,
} from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'
import { callPeer, createRpcClient, type RpcClient } from '@nettlespur/rpc.peer'
import type { EitherAsync } from 'purify-ts'
import {
  BatchApi,
  type JobCall,
  type LeaderView,
  type QueueCall,
  type SubmitCall,
} from './batchApi.js'
import type { BatchRouter } from './createBatchRouter.js'

/** A member answers who leads from memory; over links of 1 ms this leaves room for a lost packet. */
const locateTimeoutMs = 400
/** Between rounds of asking while nobody leads. */
const locatePauseMs = 100
/** Kinds that say that the call has not run and another member may take it. */
const elsewhere = new Set(['not-leader', 'unreachable', 'no-quorum', 'draining', 'disk-full'])
/** Kinds after which the call may have run; it is sent again, as that changes nothing. */
const unsure = new Set(['outcome-unknown', 'storage-failed', 'internal'])

export interface LeaderClientOptions {
  clock: Clock
  logger: Logger
  peerKey: string
  /** Members to ask first. */
  seeds: readonly string[]
  /** Of one call to one member. */
  callTimeoutMs: number
  /** Of the whole call. */
  patienceMs: number
  /** Set where this process is a member itself. */
  local?: { readonly address: string; readonly api: BatchApi } | undefined
}

type Caller = RpcClient<BatchRouter>['call']['batch']

interface Operation<T> {
  readonly name: string
  readonly remote: (call: Caller) => Promise<RpcResult<T>>
  readonly local: (api: BatchApi) => EitherAsync<NettlespurError, T>
}

export class LeaderClient extends BatchApi {
  readonly #opts: LeaderClientOptions
  readonly #clients = new Map<string, RpcClient<BatchRouter>>()
  #seeds: readonly string[]
  #members: readonly string[] = []
  #leaderAddress: string | undefined
  #locating: Promise<void> | undefined

  constructor(opts: LeaderClientOptions) {
    super()
    this.#opts = opts
    this.#seeds = opts.seeds
  }

  /** The leader's peer address, where one has answered as such. */
  get leaderAddress(): string | undefined {
    return this.#leaderAddress
  }

  /** The settings name other members to begin with. */
  replaceSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds
  }

  close(): void {
    for (const client of this.#clients.values()) client.close()
  }

  override submitJob(input: SubmitCall): EitherAsync<NettlespurError, null> {
    return this.#run({
      name: 'submit-job',
      remote: (call) => call.submitJob.mutate(input),
      local: (api) => api.submitJob(input),
    })
  }

  override cancelJob(input: JobCall): EitherAsync<NettlespurError, null> {
    return this.#run({
      name: 'cancel-job',
      remote: (call) => call.cancelJob.mutate(input),
      local: (api) => api.cancelJob(input),
    })
  }

  override getJobState(input: JobCall): EitherAsync<NettlespurError, JobState> {
    return this.#run({
      name: 'get-job',
      remote: (call) => call.getJobState.mutate(input),
      local: (api) => api.getJobState(input),
    })
  }

  override countPending(input: QueueCall): EitherAsync<NettlespurError, number> {
    return this.#run({
      name: 'count-pending',
      remote: (call) => call.countPending.mutate(input),
      local: (api) => api.countPending(input),
    })
  }

  override applyConfig(input: ClusterConfig): EitherAsync<NettlespurError, null> {
    return this.#run({
      name: 'apply-config',
      remote: (call) => call.applyConfig.mutate(input),
      local: (api) => api.applyConfig(input),
    })
  }

  override readConfig(): EitherAsync<NettlespurError, string> {
    return this.#run({
      name: 'read-config',
      remote: (call) => call.readConfig.mutate(),
      local: (api) => api.readConfig(),
    })
  }

  override announce(input: Announcement): EitherAsync<NettlespurError, null> {
    return this.#run({
      name: 'announce',
      remote: (call) => call.announce.mutate(input),
      local: (api) => api.announce(input),
    })
  }

  override leave(upstreamId: string): EitherAsync<NettlespurError, null> {
    return this.#run({
      name: 'leave',
      remote: (call) => call.leave.mutate({ upstreamId }),
      local: (api) => api.leave(upstreamId),
    })
  }

  override join(member: Member): EitherAsync<NettlespurError, null> {
    return this.#run({
      name: 'join',
      remote: (call) => call.join.mutate(member),
      local: (api) => api.join(member),
    })
  }

  #run<T>(operation: Operation<T>): EitherAsync<NettlespurError, T> {
    return tryAsync(async () => {
      const endMs = this.#opts.clock.monotonicMs() + this.#opts.patienceMs
      let mayHaveRun = false
      for (;;) {
        const attempt = await this.#tryOnce(operation, endMs)
        if (!(attempt instanceof NettlespurError)) return attempt.value
        mayHaveRun ||= unsure.has(attempt.kind)
        if (!elsewhere.has(attempt.kind) && !unsure.has(attempt.kind)) throw attempt
        if (this.#opts.clock.monotonicMs() >= endMs)
          throw this.#giveUp(operation, attempt, mayHaveRun)
      }
    })
  }

  /** One call to whoever is believed to lead, or one search for who does. */
  async #tryOnce<T>(
    operation: Operation<T>,
    endMs: number,
  ): Promise<{ readonly value: T } | NettlespurError> {
    const address = this.#leaderAddress ?? (await this.#locate())
    if (address === undefined) {
      const leftMs = endMs - this.#opts.clock.monotonicMs()
      await this.#opts.clock.sleep(Math.max(0, Math.min(locatePauseMs, leftMs)))
      return new NettlespurError('not-leader', 'no member leads', { retryAfterMs: 500 })
    }
    try {
      return { value: await unwrap(this.#call(operation, address)) }
    } catch (thrown) {
      const error = toNettlespurError(thrown)
      this.#leave(address, error)
      return error
    }
  }

  #call<T>(operation: Operation<T>, address: string): EitherAsync<NettlespurError, T> {
    const { local } = this.#opts
    if (local?.address === address) return operation.local(local.api)
    return callPeer(() => operation.remote(this.#client(address).call.batch))
  }

  /** Any other refusal is the leader's own answer. */
  #leave(address: string, error: NettlespurError): void {
    if (!elsewhere.has(error.kind) && !unsure.has(error.kind)) return
    if (this.#leaderAddress !== address) return
    this.#setLeader(error.kind === 'not-leader' ? error.hint : undefined, error.message)
  }

  #setLeader(address: string | undefined, reason: string): void {
    if (this.#leaderAddress === address) return
    this.#leaderAddress = address
    this.#opts.logger.info({ event: 'leader.believed', leaderAddress: address, reason })
  }

  async #locate(): Promise<string | undefined> {
    this.#locating ??= this.#askMembers().finally(() => {
      this.#locating = undefined
    })
    await this.#locating
    return this.#leaderAddress
  }

  async #askMembers(): Promise<void> {
    const addresses = [...new Set([...this.#seeds, ...this.#members])]
    const asked = addresses.map((address) => this.#askMember(address))
    const views = (await Promise.all(asked)).filter((view) => view !== undefined)
    const newest = views.filter(({ leaderAddress }) => leaderAddress !== undefined)
    newest.sort((left, right) => right.term - left.term)
    const members = views.flatMap(({ memberAddresses }) => memberAddresses)
    if (members.length > 0) this.#members = [...new Set(members)]
    this.#setLeader(
      newest[0]?.leaderAddress,
      `${views.length} of ${addresses.length} members asked`,
    )
  }

  async #askMember(address: string): Promise<LeaderView | undefined> {
    const { clock } = this.#opts
    const late = clock.sleep(locateTimeoutMs).then(() => undefined)
    const asked = this.#client(address)
      .call.batch.locateLeader.mutate()
      .catch((thrown: unknown) => {
        const reason = toNettlespurError(thrown).message
        this.#opts.logger.debug({ event: 'member.silent', address, reason })
        return undefined
      })
    return Promise.race([asked, late])
  }

  #client(address: string): RpcClient<BatchRouter> {
    const known = this.#clients.get(address)
    if (known !== undefined) return known
    const { clock, peerKey, callTimeoutMs: timeoutMs } = this.#opts
    const client = createRpcClient<BatchRouter>({ clock, address, peerKey, timeoutMs })
    this.#clients.set(address, client)
    return client
  }

  #giveUp(
    { name }: Operation<unknown>,
    last: NettlespurError,
    mayHaveRun: boolean,
  ): NettlespurError {
    const { logger, patienceMs } = this.#opts
    logger.warn({ event: 'call.given-up', name, mayHaveRun, patienceMs, reason: last.message })
    if (!mayHaveRun) return last
    return new NettlespurError('outcome-unknown', last.message, { cause: last })
  }
}
