/**
 * The client of the batch API, for any process. It remembers the leader, searches for one among all known members if it
 * does not answer, and retries until the call's time is up. The error then tells whether the call has run: one that may
 * have run ends as `outcome-unknown`, any other with an error that says that it has not.
 */
import type { Announcement, ClusterConfig, JobState } from '@nettlespur/batch.model'
import type { Evacuation, EvacuationChange } from '@nettlespur/core.evacuations'
import type { Member } from '@nettlespur/consensus.raft'
import type { NettlespurError, RpcResult } from '@nettlespur/core.errors'
import { limitCall } from '@nettlespur/rpc.peer'
import type { EitherAsync } from 'purify-ts'
import { AnnouncementBatches } from './announcementBatches.js'
import { BatchApi, type JobCall, type QueueCall, type SubmitCall } from './batchApi.js'
import { CallLog } from './callLog.js'
import type { CallerWait } from './callerWait.js'
import { LeaderFinder } from './leaderFinder.js'
import { LeaderWatch } from './leaderWatch.js'
import { OperationRunner, type OperationRunnerOptions } from './operationRunner.js'

/**
 * How long a member that forwards an announcement waits for a leader. The member may be partitioned from a leader that
 * others reach, and the upstream tries the next member at once after a refusal: with the usual wait, its announcement,
 * most urgently that it is about to leave, would arrive a second later for each such member.
 */
const announcePatienceMs = 200

export interface LeaderClientOptions extends Omit<OperationRunnerOptions, 'finder' | 'log'> {
  /** Whether announcements are passed on in batches now; never by default. */
  batchesAnnouncements?: () => boolean
}

export class LeaderClient extends BatchApi {
  readonly #finder: LeaderFinder
  readonly #log: CallLog
  readonly #watch: LeaderWatch
  readonly #runner: OperationRunner
  readonly #batches: AnnouncementBatches
  readonly #batchesAnnouncements: () => boolean

  constructor(opts: LeaderClientOptions) {
    super()
    this.#finder = new LeaderFinder(opts)
    this.#log = new CallLog(opts)
    this.#watch = new LeaderWatch(opts, this.#finder)
    this.#runner = new OperationRunner({ ...opts, finder: this.#finder, log: this.#log })
    this.#batchesAnnouncements = opts.batchesAnnouncements ?? (() => false)
    this.#batches = new AnnouncementBatches({
      ...opts,
      send: (announcements) => this.announceMany(announcements),
    })
  }

  /** The peer address of the presumed leader; undefined if none is known. */
  get leaderAddress(): string | undefined {
    return this.#finder.leaderAddress
  }

  /** False while no member has answered for some seconds. Always true unless `watch` runs. */
  get canReachMembers(): boolean {
    return this.#watch.canReachMembers
  }

  /** Checks the leader and the connection to it at regular intervals until `signal` is aborted. */
  watch(signal: AbortSignal): Promise<void> {
    return this.#watch.run(signal)
  }

  /** Replaces the member addresses from the settings, which every search includes. */
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

  override listEvacuations(wait: CallerWait = {}): EitherAsync<NettlespurError, Evacuation[]> {
    return this.#runner.run(
      {
        name: 'list-evacuations',
        subject: '',
        kind: 'read',
        remote: (calls, limits) => calls.listEvacuations.mutate(undefined, limitCall(limits)),
        local: (api) => api.listEvacuations(),
      },
      wait,
    )
  }

  override changeEvacuation(
    input: EvacuationChange,
    wait: CallerWait = {},
  ): EitherAsync<NettlespurError, null> {
    return this.#runner.run(
      {
        name: 'change-evacuation',
        subject: `${input.dataCentre} after revision ${input.expectedRevision}`,
        kind: 'change',
        remote: (calls) => calls.changeEvacuation.mutate(input),
        local: (api) => api.changeEvacuation(input),
      },
      wait,
    )
  }

  override announce(input: Announcement): EitherAsync<NettlespurError, null> {
    if (this.#batchesAnnouncements()) return this.#batches.announce(input)
    return this.#runner.run({
      name: 'announce',
      subject: input.upstreamId,
      kind: 'repeated',
      patienceMs: announcePatienceMs,
      remote: (calls) => calls.announce.mutate(input),
      local: (api) => api.announce(input),
    })
  }

  override announceMany(
    announcements: readonly Announcement[],
  ): EitherAsync<NettlespurError, RpcResult<null>[]> {
    return this.#runner.run({
      name: 'announce-many',
      subject: `${announcements.length} upstreams`,
      kind: 'repeated',
      patienceMs: announcePatienceMs,
      remote: (calls) => calls.announceMany.mutate([...announcements]),
      local: (api) => api.announceMany(announcements),
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
