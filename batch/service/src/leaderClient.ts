/**
 * Calls the leader from wherever it is asked. It remembers who leads, asks all members it knows of where
 * that one does not answer, and goes on until the call's time is up. What is told then is true: a call that
 * may have reached a leader ends as `outcome-unknown`, and any other as not run.
 */
import type { Announcement, ClusterConfig, JobState } from '@nettlespur/batch.model'
import type { Member } from '@nettlespur/consensus.raft'
import type { NettlespurError } from '@nettlespur/core.errors'
import { limitCall } from '@nettlespur/rpc.peer'
import type { EitherAsync } from 'purify-ts'
import { BatchApi, type JobCall, type QueueCall, type SubmitCall } from './batchApi.js'
import { CallLog } from './callLog.js'
import type { CallerWait } from './callerWait.js'
import { LeaderFinder } from './leaderFinder.js'
import { LeaderWatch } from './leaderWatch.js'
import { OperationRunner, type OperationRunnerOptions } from './operationRunner.js'

/**
 * A member that reaches no leader may be cut off while others follow one, and the upstream tries the next member at once:
 * what it has to say, that it is about to leave above all, then arrives a second sooner for each such member.
 */
const announcePatienceMs = 200

export type LeaderClientOptions = Omit<OperationRunnerOptions, 'finder' | 'log'>

export class LeaderClient extends BatchApi {
  readonly #finder: LeaderFinder
  readonly #log: CallLog
  readonly #watch: LeaderWatch
  readonly #runner: OperationRunner

  constructor(opts: LeaderClientOptions) {
    super()
    this.#finder = new LeaderFinder(opts)
    this.#log = new CallLog(opts)
    this.#watch = new LeaderWatch(opts, this.#finder)
    this.#runner = new OperationRunner({ ...opts, finder: this.#finder, log: this.#log })
  }

  /** The leader's peer address, where one has answered as such. */
  get leaderAddress(): string | undefined {
    return this.#finder.leaderAddress
  }

  /** False while no member has answered for some seconds; true unless `watch` runs. */
  get canReachMembers(): boolean {
    return this.#watch.canReachMembers
  }

  /** Keeps the way to the leader fresh until `signal` is aborted. */
  watch(signal: AbortSignal): Promise<void> {
    return this.#watch.run(signal)
  }

  /** The settings name other members to begin with. */
  replaceSeeds(seeds: readonly string[]): void {
    this.#finder.replaceSeeds(seeds)
  }

  close(): void {
    this.#finder.close()
    this.#log.close()
  }

  override submitJob(input: SubmitCall, wait: CallerWait = {}): EitherAsync<NettlespurError, null> {
    return this.#runner.run(
      {
        name: 'submit-job',
        subject: input.request.jobId,
        kind: 'change',
        remote: (calls) => calls.submitJob.mutate(input),
        local: (api) => api.submitJob(input),
      },
      wait,
    )
  }

  override cancelJob(input: JobCall, wait: CallerWait = {}): EitherAsync<NettlespurError, null> {
    return this.#runner.run(
      {
        name: 'cancel-job',
        subject: input.jobId,
        kind: 'change',
        remote: (calls) => calls.cancelJob.mutate(input),
        local: (api) => api.cancelJob(input),
      },
      wait,
    )
  }

  override getJobState(
    input: JobCall,
    wait: CallerWait = {},
  ): EitherAsync<NettlespurError, JobState> {
    return this.#runner.run(
      {
        name: 'get-job',
        subject: input.jobId,
        kind: 'read',
        remote: (calls, limits) => calls.getJobState.mutate(input, limitCall(limits)),
        local: (api) => api.getJobState(input),
      },
      wait,
    )
  }

  override countPending(
    input: QueueCall,
    wait: CallerWait = {},
  ): EitherAsync<NettlespurError, number> {
    return this.#runner.run(
      {
        name: 'count-pending',
        subject: input.path,
        kind: 'read',
        remote: (calls, limits) => calls.countPending.mutate(input, limitCall(limits)),
        local: (api) => api.countPending(input),
      },
      wait,
    )
  }

  override applyConfig(input: ClusterConfig): EitherAsync<NettlespurError, null> {
    return this.#runner.run({
      name: 'apply-config',
      subject: `version ${input.version}`,
      kind: 'change',
      remote: (calls) => calls.applyConfig.mutate(input),
      local: (api) => api.applyConfig(input),
    })
  }

  override readConfig(): EitherAsync<NettlespurError, string> {
    return this.#runner.run({
      name: 'read-config',
      subject: '',
      kind: 'repeated',
      remote: (calls) => calls.readConfig.mutate(),
      local: (api) => api.readConfig(),
    })
  }

  override announce(input: Announcement): EitherAsync<NettlespurError, null> {
    return this.#runner.run({
      name: 'announce',
      subject: input.upstreamId,
      kind: 'repeated',
      patienceMs: announcePatienceMs,
      remote: (calls) => calls.announce.mutate(input),
      local: (api) => api.announce(input),
    })
  }

  override leave(upstreamId: string): EitherAsync<NettlespurError, null> {
    return this.#runner.run({
      name: 'leave',
      subject: upstreamId,
      kind: 'change',
      remote: (calls) => calls.leave.mutate({ upstreamId }),
      local: (api) => api.leave(upstreamId),
    })
  }

  override join(member: Member): EitherAsync<NettlespurError, null> {
    return this.#runner.run({
      name: 'join',
      subject: member.memberId,
      kind: 'change',
      remote: (calls) => calls.join.mutate(member),
      local: (api) => api.join(member),
    })
  }
}
