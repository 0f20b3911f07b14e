/**
 * One member of a placed gang: its calls, its last known state and its lease. The end of the lease is known
 * only between two bounds, since an unanswered call may have reached the upstream at any time before it was
 * given up. The member is lost once the earlier bound has passed; its accelerators are free only after the
 * later one.
 */
import type { PlacementMember, ReserveTask, TaskState, TaskStatus } from '@nettlespur/api.schemas'
import type { JobRecord } from '@nettlespur/control.state'
import type { NettlespurError } from '@nettlespur/core.errors'
import type { TaskReference } from '@nettlespur/upstream.client'
import type { Either, EitherAsync } from 'purify-ts'
import type { GangOptions } from './gangOptions.js'

/** In these states no process of the task is left on its upstream. */
const stoppedStates: ReadonlySet<TaskState> = new Set([
  'finished',
  'failed',
  'stopped',
  'never-runs',
  'lease-expired',
])
const stopRetryMs = 250
/** Consecutive unanswered renewals after which a silent upstream is presumed dead. */
const failedCallsMax = 2
const failedCallRetryMs = 1000
/** Errors after which a start certainly had no effect. */
const startRefusals: ReadonlySet<string> = new Set(['upstream-refused', 'fence-too-low'])

/** How a stop was confirmed: by the state that the upstream reported, or by the end of the lease. */
export type StopOutcome = TaskState | 'lease-over'

export class GangMember {
  readonly upstreamId: string
  readonly task: TaskReference
  /** Whether the job may be started once more after this attempt. */
  readonly mayRunAgain: boolean
  readonly #opts: GangOptions
  readonly #jobId: string
  #state: TaskState | undefined
  #failure: string | undefined
  #startRefused = false
  #wasSeenRunning = false
  /** The process of the upstream that answered first, and whether another one has answered since. */
  #session: string | undefined
  #isReplaced = false
  #mayHaveSentStart = false
  #earliestLeaseEndMs = 0
  #latestLeaseEndMs = 0
  #failedCalls = 0

  constructor(opts: GangOptions, job: JobRecord, member: PlacementMember, fence: number) {
    this.#opts = opts
    this.#jobId = job.jobId
    this.mayRunAgain = job.request.repeatable
    this.upstreamId = member.upstreamId
    this.task = { address: member.address, taskId: member.taskId, fence }
  }

  get state(): TaskState | undefined {
    return this.#state
  }

  /** Why the task failed, as reported by its upstream. */
  get failure(): string {
    return this.#failure ?? 'no reason given'
  }

  /** False only if it is certain that no start of the task had an effect. */
  get mayHaveSentStart(): boolean {
    return this.#mayHaveSentStart
  }

  /** Whether the gang must do without this member, even if its task may still be running. */
  get isLost(): boolean {
    if (this.#startRefused) return true
    if (this.#mayBeRunning) return this.#leaseLeftMs <= 0 || this.#isPresumedDead
    return this.#state !== 'finished' && this.#state !== 'failed'
  }

  /**
   * Whether the loss of this member is certain: its upstream refused the start, stopped the task, or has no record of it any
   * more. An expired lease is no such report: the upstream lives, and was not heard.
   */
  get isReportedLost(): boolean {
    return this.#startRefused || this.#state === 'stopped' || this.isForgotten
  }

  /** Whether its upstream answers and has no record of the start: another process answers. */
  get isForgotten(): boolean {
    if (this.#isReplaced || this.#state === 'unknown') return true
    return this.#state === 'never-runs' && this.#wasSeenRunning
  }

  /** Time until the next renewal is due: sooner after a failed call, infinite once the task has ended. */
  get renewalDueMs(): number {
    if (!this.#mayBeRunning) return Number.POSITIVE_INFINITY
    return this.#failedCalls > 0
      ? Math.min(failedCallRetryMs, this.#leaseLeftMs)
      : this.#leaseLeftMs
  }

  /** Time until the member counts as lost unless its lease is renewed. */
  get #leaseLeftMs(): number {
    return this.#earliestLeaseEndMs - this.#opts.clock.monotonicMs()
  }

  /**
   * Whether renewals have failed repeatedly and the upstream is silent while others are not. Never presumed where the job
   * could not run again: it would end for good, though its upstream may answer before the lease is over.
   */
  get #isPresumedDead(): boolean {
    if (!this.mayRunAgain) return false
    const hasFailedCalls = this.#failedCalls >= failedCallsMax
    return hasFailedCalls && this.#opts.isUpstreamSilent(this.upstreamId)
  }

  get #mayBeRunning(): boolean {
    return this.#state === undefined || this.#state === 'reserved' || this.#state === 'running'
  }

  /** Takes over a member that another leader placed, and that it may have renewed and started just now. */
  adopt(): void {
    const leaseEndMs = this.#opts.clock.monotonicMs() + this.#opts.timings.taskLeaseMs
    this.#earliestLeaseEndMs = leaseEndMs
    this.#latestLeaseEndMs = leaseEndMs
    this.#mayHaveSentStart = true
  }

  async reserve(body: ReserveTask): Promise<Either<NettlespurError, TaskStatus>> {
    const { address, taskId } = this.task
    return this.#callAndRenewLease(() => this.#opts.client.reserve(address, taskId, body))
  }

  /** Renews the lease, which also updates the state, and starts the task if it is only reserved. */
  async renewAndStart(): Promise<void> {
    if (this.#state !== 'reserved') await this.renew()
    if (this.#state === 'reserved') await this.#start()
  }

  async renew(): Promise<void> {
    const { address, taskId, fence } = this.task
    const leaseMs = this.#opts.timings.taskLeaseMs
    const renewal = this.#opts.client
      .renew(address, { leases: [{ taskId, fence, leaseMs }] })
      .map(([status]) => status ?? { taskId, fence, state: 'unknown' as const })
    await this.#callAndRenewLease(() => renewal)
  }

  /** Stops the task. Resolves once it can no longer run; rejects when `signal` is aborted. */
  async stop(signal: AbortSignal): Promise<StopOutcome> {
    const { clock, client, timings } = this.#opts
    for (;;) {
      signal.throwIfAborted()
      const stop = { jobId: this.#jobId, graceMs: timings.stopGraceMs }
      const answer = await client.stop(this.task, stop).run()
      const state = answer
        .map((status) => this.#recordStatus(status))
        .toMaybe()
        .extractNullable()
      if (state !== null && stoppedStates.has(state)) return state
      const freeAtMs = this.#latestLeaseEndMs + timings.clockDriftMarginMs
      const untilFreeMs = freeAtMs - clock.monotonicMs()
      if (answer.isLeft() && untilFreeMs <= 0) return 'lease-over'
      await clock.sleep(untilFreeMs > 0 ? Math.min(stopRetryMs, untilFreeMs) : stopRetryMs, signal)
    }
  }

  /** Takes a checkpoint and returns its id, or undefined if none could be taken. */
  async checkpoint(): Promise<string | undefined> {
    const answer = await this.#opts.client.checkpoint(this.task).run()
    const status = answer.toMaybe().extract()
    return status?.fence === this.task.fence ? status.checkpointId : undefined
  }

  getAnswer(): EitherAsync<NettlespurError, Buffer> {
    return this.#opts.client.getAnswer(this.task)
  }

  async #start(): Promise<void> {
    const before = this.#mayHaveSentStart
    this.#mayHaveSentStart = true
    const answer = await this.#opts.client.start(this.task).run()
    answer.caseOf({
      Right: (status) => void this.#recordStatus(status),
      Left: ({ kind }) => {
        this.#state = undefined
        this.#startRefused = startRefusals.has(kind)
        if (kind === 'unreachable' || this.#startRefused) this.#mayHaveSentStart = before
      },
    })
  }

  /** Runs a call that renews the lease, and updates both bounds of the lease by its result. */
  async #callAndRenewLease(
    call: () => EitherAsync<NettlespurError, TaskStatus>,
  ): Promise<Either<NettlespurError, TaskStatus>> {
    const { clock, timings } = this.#opts
    const sentMs = clock.monotonicMs()
    const answer = await call().run()
    this.#failedCalls = answer.isLeft() ? this.#failedCalls + 1 : 0
    const wasNotSent = answer.isLeft() && answer.extract().kind === 'unreachable'
    if (!wasNotSent) this.#latestLeaseEndMs = clock.monotonicMs() + timings.taskLeaseMs
    answer.ifRight((status) => {
      this.#earliestLeaseEndMs = sentMs + timings.taskLeaseMs
      this.#recordStatus(status)
    })
    return answer
  }

  /** A status with another fence only shows that this task is not on the upstream. */
  #recordStatus(status: TaskStatus): TaskState {
    this.#state = status.fence === this.task.fence ? status.state : 'unknown'
    this.#wasSeenRunning ||= this.#state === 'running'
    this.#session ??= status.session
    this.#isReplaced ||= status.session !== undefined && status.session !== this.#session
    this.#failure = status.failure
    return this.#state
  }
}
