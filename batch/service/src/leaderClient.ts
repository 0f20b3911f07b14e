/**
 * Calls the leader from wherever it is asked. It remembers who leads, asks all members it knows of where
 * that one does not answer, and goes on until the call's time is up. What is told then is true: a call that
 * may have reached a leader ends as `outcome-unknown`, and any other as not run.
 */
import type { Announcement, ClusterConfig, JobState } from '@nettlespur/batch.model'
import type { Member } from '@nettlespur/consensus.raft'
import {
  NettlespurError,
  toNettlespurError,
  tryAsync,
  unwrap,
  type RpcResult,
} from '@nettlespur/core.errors'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import { callPeer, type RpcClient } from '@nettlespur/rpc.peer'
import type { EitherAsync } from 'purify-ts'
import { BatchApi, type JobCall, type QueueCall, type SubmitCall } from './batchApi.js'
import type { BatchRouter } from './createBatchRouter.js'
import { LeaderFinder, type LeaderFinderOptions } from './leaderFinder.js'

/** Between rounds of asking while nobody leads. */
const locatePauseMs = 100
/** Before each further try: an instance just elected names itself, and only a pause lets it get ready. */
const retryPauseMs = 20
/** Kinds that say that the call has not run and another member may take it. */
const elsewhere = new Set(['not-leader', 'unreachable', 'no-quorum', 'draining', 'disk-full'])
/** Kinds after which the call may have run; sending it again changes nothing. */
const unsure = new Set(['outcome-unknown', 'storage-failed', 'internal'])

export interface LeaderClientOptions extends LeaderFinderOptions {
  metrics: MetricsRegistry
  /** Of the whole call. */
  patienceMs: number
  /** Set where this process is a member itself. */
  local?: { readonly address: string; readonly api: BatchApi } | undefined
}

type Caller = RpcClient<BatchRouter>['call']['batch']

interface Operation<T> {
  readonly name: string
  /** The job, queue or upstream it is about, for the log. */
  readonly subject: string
  /** Whether it changes something: reads are logged only where they fail. */
  readonly isChange: boolean
  readonly remote: (call: Caller) => Promise<RpcResult<T>>
  readonly local: (api: BatchApi) => EitherAsync<NettlespurError, T>
}

export class LeaderClient extends BatchApi {
  readonly #opts: LeaderClientOptions
  readonly #finder: LeaderFinder

  constructor(opts: LeaderClientOptions) {
    super()
    this.#opts = opts
    this.#finder = new LeaderFinder(opts)
  }

  /** The leader's peer address, where one has answered as such. */
  get leaderAddress(): string | undefined {
    return this.#finder.leaderAddress
  }

  /** The settings name other members to begin with. */
  replaceSeeds(seeds: readonly string[]): void {
    this.#finder.replaceSeeds(seeds)
  }

  close(): void {
    this.#finder.close()
  }

  override submitJob(input: SubmitCall): EitherAsync<NettlespurError, null> {
    return this.#run({
      name: 'submit-job',
      subject: input.request.jobId,
      isChange: true,
      remote: (call) => call.submitJob.mutate(input),
      local: (api) => api.submitJob(input),
    })
  }

  override cancelJob(input: JobCall): EitherAsync<NettlespurError, null> {
    return this.#run({
      name: 'cancel-job',
      subject: input.jobId,
      isChange: true,
      remote: (call) => call.cancelJob.mutate(input),
      local: (api) => api.cancelJob(input),
    })
  }

  override getJobState(input: JobCall): EitherAsync<NettlespurError, JobState> {
    return this.#run({
      name: 'get-job',
      subject: input.jobId,
      isChange: false,
      remote: (call) => call.getJobState.mutate(input),
      local: (api) => api.getJobState(input),
    })
  }

  override countPending(input: QueueCall): EitherAsync<NettlespurError, number> {
    return this.#run({
      name: 'count-pending',
      subject: input.path,
      isChange: false,
      remote: (call) => call.countPending.mutate(input),
      local: (api) => api.countPending(input),
    })
  }

  override applyConfig(input: ClusterConfig): EitherAsync<NettlespurError, null> {
    return this.#run({
      name: 'apply-config',
      subject: `version ${input.version}`,
      isChange: true,
      remote: (call) => call.applyConfig.mutate(input),
      local: (api) => api.applyConfig(input),
    })
  }

  override readConfig(): EitherAsync<NettlespurError, string> {
    return this.#run({
      name: 'read-config',
      subject: '',
      isChange: false,
      remote: (call) => call.readConfig.mutate(),
      local: (api) => api.readConfig(),
    })
  }

  override announce(input: Announcement): EitherAsync<NettlespurError, null> {
    return this.#run({
      name: 'announce',
      subject: input.upstreamId,
      isChange: false,
      remote: (call) => call.announce.mutate(input),
      local: (api) => api.announce(input),
    })
  }

  override leave(upstreamId: string): EitherAsync<NettlespurError, null> {
    return this.#run({
      name: 'leave',
      subject: upstreamId,
      isChange: true,
      remote: (call) => call.leave.mutate({ upstreamId }),
      local: (api) => api.leave(upstreamId),
    })
  }

  override join(member: Member): EitherAsync<NettlespurError, null> {
    return this.#run({
      name: 'join',
      subject: member.memberId,
      isChange: true,
      remote: (call) => call.join.mutate(member),
      local: (api) => api.join(member),
    })
  }

  #run<T>(operation: Operation<T>): EitherAsync<NettlespurError, T> {
    return tryAsync(async () => {
      const startMs = this.#opts.clock.monotonicMs()
      try {
        const value = await this.#runUntilAnswered(operation, startMs)
        this.#note(operation, startMs)
        return value
      } catch (thrown) {
        const error = toNettlespurError(thrown)
        this.#note(operation, startMs, error)
        throw error
      }
    })
  }

  async #runUntilAnswered<T>(operation: Operation<T>, startMs: number): Promise<T> {
    const { clock, patienceMs } = this.#opts
    let mayHaveRun = false
    for (;;) {
      const attempt = await this.#tryOnce(operation, startMs + patienceMs)
      if (!(attempt instanceof NettlespurError)) return attempt.value
      mayHaveRun ||= unsure.has(attempt.kind)
      if (!elsewhere.has(attempt.kind) && !unsure.has(attempt.kind)) throw attempt
      if (clock.monotonicMs() >= startMs + patienceMs) throw toFinalError(attempt, mayHaveRun)
      await clock.sleep(retryPauseMs)
    }
  }

  /** One call to whoever is believed to lead, or one search for who does. */
  async #tryOnce<T>(
    operation: Operation<T>,
    endMs: number,
  ): Promise<{ readonly value: T } | NettlespurError> {
    const address = this.#finder.leaderAddress ?? (await this.#finder.locate())
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
    return callPeer(() => operation.remote(this.#finder.client(address).call.batch))
  }

  /** Any other refusal is the leader's own answer. */
  #leave(address: string, error: NettlespurError): void {
    if (!elsewhere.has(error.kind) && !unsure.has(error.kind)) return
    if (this.#finder.leaderAddress !== address) return
    this.#finder.believe(error.kind === 'not-leader' ? error.hint : undefined, error.message)
  }

  /** One line a change and a failed read, with the leader it went to and how long it took. */
  #note(
    { name, subject, isChange }: Operation<unknown>,
    startMs: number,
    error?: NettlespurError,
  ): void {
    const { clock, logger, metrics } = this.#opts
    const tookMs = Math.round(clock.monotonicMs() - startMs)
    const outcome = error?.kind ?? 'done'
    metrics.recordMs(`call_${name.replaceAll('-', '_')}_ms`, tookMs)
    metrics.count(`calls_${name.replaceAll('-', '_')}_${outcome.replaceAll('-', '_')}_total`)
    if (!isChange && error === undefined) return
    const { leaderAddress } = this
    const reason = error?.message
    logger.info({
      event: 'call.answered',
      call: name,
      subject,
      outcome,
      tookMs,
      leaderAddress,
      reason,
    })
  }
}

/** What is told once the time of a call is up. */
function toFinalError(last: NettlespurError, mayHaveRun: boolean): NettlespurError {
  if (!mayHaveRun) return last
  return new NettlespurError('outcome-unknown', last.message, { cause: last })
}
