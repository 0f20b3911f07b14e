/**
 * One member of a placed gang: its calls, its last known state and its lease. The lease is known by two
 * bounds, since an unanswered call may have reached the upstream at any moment before it was given up:
 * the member is lost once the earlier has passed, and its accelerators are free only after the later one.
 */
import type { PlacementMember, ReserveTask, TaskState, TaskStatus } from '@nettlespur/api.schemas'
import type { NettlespurError } from '@nettlespur/core.errors'
import type { TaskReference } from '@nettlespur/upstream.client'
import type { Either, EitherAsync } from 'purify-ts'
import type { GangOptions } from './gangOptions.js'

/** After these no process of the task is left on its upstream. */
const stoppedStates: ReadonlySet<TaskState> = new Set([
  'finished',
  'failed',
  'stopped',
  'never-runs',
  'lease-expired',
])
const stopRetryMs = 250
/** Renewals in a row without an answer after which a silent upstream counts as dead. */
const failedCallsMax = 2
const failedCallRetryMs = 1000
/** Errors that tell for certain that a start had no effect. */
const startRefusals: ReadonlySet<string> = new Set(['upstream-refused', 'fence-too-low'])

/** How a stop was confirmed: by the upstream's word, or by the end of its lease. */
export type StopOutcome = TaskState | 'lease-over'

export class GangMember {
  readonly upstreamId: string
  readonly task: TaskReference
  readonly #opts: GangOptions
  readonly #jobId: string
  #state: TaskState | undefined
  #failure: string | undefined
  #startRefused = false
  #mayHaveSentStart = false
  #earliestLeaseEndMs = 0
  #latestLeaseEndMs = 0
  #failedCalls = 0

  constructor(opts: GangOptions, jobId: string, member: PlacementMember, fence: number) {
    this.#opts = opts
    this.#jobId = jobId
    this.upstreamId = member.upstreamId
    this.task = { address: member.address, taskId: member.taskId, fence }
  }

  get state(): TaskState | undefined {
    return this.#state
  }

  /** Why the task failed, as its upstream says. */
  get failure(): string {
    return this.#failure ?? 'no reason given'
  }

  get mayHaveSentStart(): boolean {
    return this.#mayHaveSentStart
  }

  /** True where the member can't be relied on any more, whatever it may still be doing. */
  get isLost(): boolean {
    if (this.#startRefused) return true
    if (this.#mayBeRunning) return this.#leaseLeftMs <= 0 || this.#isPresumedDead
    return this.#state !== 'finished' && this.#state !== 'failed'
  }

  /** Until it must be asked again: sooner after a failed call. Infinite once it has ended. */
  get renewalDueMs(): number {
    if (!this.#mayBeRunning) return Number.POSITIVE_INFINITY
    return this.#failedCalls > 0
      ? Math.min(failedCallRetryMs, this.#leaseLeftMs)
      : this.#leaseLeftMs
  }

  /** Until the member counts as lost unless it is renewed. */
  get #leaseLeftMs(): number {
    return this.#earliestLeaseEndMs - this.#opts.clock.monotonicMs()
  }

  /** Neither announced by its upstream nor found by its leader, while other upstreams are heard. */
  get #isPresumedDead(): boolean {
    const hasFailedCalls = this.#failedCalls >= failedCallsMax
    return hasFailedCalls && this.#opts.isUpstreamSilent(this.upstreamId)
  }

  get #mayBeRunning(): boolean {
    return this.#state === undefined || this.#state === 'reserved' || this.#state === 'running'
  }

  /** Takes over a member that another leader placed; it may have renewed and started it just now. */
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

  /** Renews the lease, learns the state, and starts the task where that is still due. */
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

  /** Resolves once nothing of the task can run any more. Rejects when `signal` is aborted. */
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

  /** The checkpoint's id; undefined where none could be taken. */
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

  /** A status of another fence says nothing of this task but that it is not here. */
  #recordStatus(status: TaskStatus): TaskState {
    this.#state = status.fence === this.task.fence ? status.state : 'unknown'
    this.#failure = status.failure
    return this.#state
  }
}
