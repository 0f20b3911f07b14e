/**
 * Queues requests until their workspace is below its limit of concurrent requests and an upstream has a free
 * slot. The next slot goes to the workspace with the least slot time for its weight (start-time fair queueing),
 * so that a flooding workspace takes nothing from another's share; within a workspace the order is first come,
 * first served. A request that is cancelled, or cannot be served before its deadline, is refused at once.
 */
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import type { ClusterView } from '@nettlespur/entry.view'
import { EitherAsync, Left, Right, type Either } from 'purify-ts'
import { from, mergeAll, NEVER, type Observable, type Subscription } from 'rxjs'
import { createCancelledError, createDeadlineError, createNoShareError } from './queueErrors.js'
import type { ShortRequest } from './shortRequest.js'
import type { SlotSource } from './slotSource.js'
import type { UpstreamPicker } from './upstreamPicker.js'
import { WorkspaceLine, type SlotGrant, type Waiter } from './workspaceLine.js'
import type { WorkspaceQuotas } from './workspaceQuotas.js'

const retryAfterMs = 1000
const nothingToAvoid: ReadonlySet<string> = new Set()

export interface RequestQueueOptions {
  clock: Clock
  view: ClusterView
  slots: SlotSource
  quotas: WorkspaceQuotas
  picker: UpstreamPicker
  /** Emits when the picker may pick upstreams that it excluded before. */
  pickerChanges?: Observable<unknown>
}

type Outcome = Either<NettlespurError, SlotGrant>

export class RequestQueue {
  readonly #opts: RequestQueueOptions
  readonly #lines = new Map<string, WorkspaceLine>()
  readonly #changes: Subscription
  /** Highest virtual time served so far. A workspace that was idle starts from it. */
  #virtualMs = 0
  #shutDown: NettlespurError | undefined

  constructor(opts: RequestQueueOptions) {
    this.#opts = opts
    const { contracts, upstreams, entries, lease } = opts.view
    const changes = [contracts, upstreams, entries, lease.held, opts.pickerChanges ?? NEVER]
    this.#changes = from(changes)
      .pipe(mergeAll())
      .subscribe(() => {
        this.#serveLines()
      })
  }

  /** Number of requests waiting now. */
  get waiting(): number {
    let sum = 0
    for (const line of this.#lines.values()) sum += line.fresh.size + line.again.size
    return sum
  }

  /**
   * Waits for the first slot. The request then counts as concurrent until `leave`. Errors: `no-upstream`,
   * `queue-full`, `deadline-before-start`, `cancelled-before-start`, `contract-lease-expired`.
   */
  enter(request: ShortRequest): EitherAsync<NettlespurError, SlotGrant> {
    return EitherAsync.fromPromise(() => {
      const refusal = this.#refuse(request, nothingToAvoid) ?? this.#refuseFresh(request)
      if (refusal !== undefined) return Promise.resolve(Left(refusal))
      return this.#wait(request, nothingToAvoid, 'fresh')
    })
  }

  /** Waits for a slot for a retry, ahead of requests without an attempt yet. Errors: those of `enter`. */
  enterAgain(
    request: ShortRequest,
    avoid: ReadonlySet<string>,
  ): EitherAsync<NettlespurError, SlotGrant> {
    return EitherAsync.fromPromise(() => {
      const refusal = this.#refuse(request, avoid)
      if (refusal !== undefined) return Promise.resolve(Left(refusal))
      return this.#wait(request, avoid, 'again')
    })
  }

  releaseSlot(upstreamId: string): void {
    this.#opts.slots.release(upstreamId)
    this.#serveLines()
  }

  leave(workspace: string): void {
    const line = this.#lineOf(workspace)
    line.noteEnd()
    this.#forgetIdle(line)
    this.#serveLines()
  }

  /** Refuses all waiting and all later requests with `error`. */
  shutDown(error: NettlespurError): void {
    this.#shutDown = error
    this.#refuseAll(error)
  }

  close(): void {
    this.#changes.unsubscribe()
  }

  #wait(
    request: ShortRequest,
    avoid: ReadonlySet<string>,
    part: 'fresh' | 'again',
  ): Promise<Outcome> {
    return new Promise((resolve) => {
      const line = this.#lineOf(request.workspace)
      const { deadlineAtMs } = request
      const sinceMs = this.#opts.clock.monotonicMs()
      const timer = this.#opts.clock.setTimer(deadlineAtMs - sinceMs, () => {
        settle(Left(createDeadlineError(line.drainRate.retryAfterMs(line.fresh.size))))
      })
      const giveUp = (): void => {
        settle(Left(createCancelledError()))
      }
      const settle = (outcome: Outcome): void => {
        timer.cancel()
        request.callerGone.removeEventListener('abort', giveUp)
        line.remove(waiter)
        this.#forgetIdle(line)
        resolve(outcome)
      }
      const waiter: Waiter = { avoid, sinceMs, deadlineAtMs, settle }
      request.callerGone.addEventListener('abort', giveUp, { once: true })
      if (line.fresh.size === 0) line.drainRate.noteBacklogBegins()
      line[part].add(waiter)
      this.#serveLines()
      if (part === 'fresh') this.#boundLine(line, waiter)
    })
  }

  #refuse(request: ShortRequest, avoid: ReadonlySet<string>): NettlespurError | undefined {
    const closed = this.#shutDown ?? this.#opts.view.lease.getRefusal()
    if (closed !== undefined) return closed
    if (request.callerGone.aborted) return createCancelledError()
    if (request.deadlineAtMs <= this.#opts.clock.monotonicMs()) {
      return createDeadlineError(retryAfterMs)
    }
    if (this.#opts.slots.countUsable(avoid) > 0) return undefined
    return new NettlespurError('no-upstream', 'no upstream is ready to run it', { retryAfterMs })
  }

  /** Refuses a request whose workspace has no share here, or that is not expected to end by its deadline. */
  #refuseFresh(request: ShortRequest): NettlespurError | undefined {
    const placesMax = this.#opts.quotas.quotaOf(request.workspace)?.concurrentRequests ?? 0
    if (placesMax === 0) return createNoShareError(retryAfterMs)
    const line = this.#lines.get(request.workspace)
    if (line === undefined || line.fresh.size === 0) return undefined
    const waitMs = line.drainRate.expectedWaitMs(line.fresh.size + 1)
    if (waitMs === undefined) return undefined
    const expectedMs = waitMs + line.meanSlotMs
    const remainingMs = request.deadlineAtMs - this.#opts.clock.monotonicMs()
    if (expectedMs <= remainingMs) return undefined
    const message = `its end is expected in ${Math.ceil(expectedMs)} ms, after its deadline`
    return new NettlespurError('deadline-before-start', message, {
      retryAfterMs: line.drainRate.retryAfterMs(line.fresh.size),
    })
  }

  /** Refuses a new waiter that got no slot at once and exceeds the limit of queued requests. */
  #boundLine(line: WorkspaceLine, waiter: Waiter): void {
    if (!line.fresh.has(waiter)) return
    const queuedMax = this.#opts.quotas.quotaOf(line.workspace)?.queuedRequests ?? 0
    if (line.fresh.size <= queuedMax) return
    const message = `${queuedMax} requests of this workspace wait here already`
    const retry = { retryAfterMs: line.drainRate.retryAfterMs(queuedMax) }
    waiter.settle(Left(new NettlespurError('queue-full', message, retry)))
  }

  /** Grants slots to waiters, retries first, until no more can be granted. */
  #serveLines(): void {
    const lapsed = this.#opts.view.lease.getRefusal()
    if (lapsed !== undefined) {
      this.#refuseAll(lapsed)
      return
    }
    for (const line of [...this.#lines.values()]) this.#serveAgain(line)
    let line = this.#nextLine()
    while (line !== undefined && this.#serveFresh(line)) line = this.#nextLine()
  }

  #serveAgain(line: WorkspaceLine): void {
    for (const waiter of [...line.again]) {
      const grant = this.#takeSlot(waiter.avoid)
      if (grant !== undefined) waiter.settle(Right(grant))
    }
  }

  /** Returns the workspace with the lowest virtual time that has waiters and is below its concurrency limit. */
  #nextLine(): WorkspaceLine | undefined {
    let next: WorkspaceLine | undefined
    for (const line of this.#lines.values()) {
      if (line.fresh.size === 0) continue
      if (next !== undefined && next.virtualMs <= line.virtualMs) continue
      const placesMax = this.#opts.quotas.quotaOf(line.workspace)?.concurrentRequests ?? 0
      if (line.placed < placesMax) next = line
    }
    return next
  }

  #serveFresh(line: WorkspaceLine): boolean {
    this.#dropTooLate(line)
    const [waiter] = line.fresh
    if (waiter === undefined) return true
    const grant = this.#takeSlot(waiter.avoid)
    if (grant === undefined) return false
    this.#virtualMs = Math.max(this.#virtualMs, line.virtualMs)
    line.noteStart(this.#opts.view.getContract(line.workspace)?.weight ?? 1)
    waiter.settle(Right(grant))
    return true
  }

  /** Refuses the first waiters that can no longer end in time: a slot spent on them would be wasted. */
  #dropTooLate(line: WorkspaceLine): void {
    for (const waiter of [...line.fresh]) {
      if (!line.isTooLate(waiter)) return
      const afterMs = line.drainRate.retryAfterMs(line.fresh.size)
      waiter.settle(Left(createDeadlineError(afterMs)))
    }
  }

  #takeSlot(avoid: ReadonlySet<string>): SlotGrant | undefined {
    const picked = this.#opts.picker.pick(this.#opts.slots.listFree(avoid))
    if (picked === undefined) return undefined
    return { ...picked, fence: this.#opts.slots.take(picked.upstream.upstreamId) }
  }

  #refuseAll(error: NettlespurError): void {
    for (const line of [...this.#lines.values()]) {
      for (const waiter of [...line.again, ...line.fresh]) waiter.settle(Left(error))
    }
  }

  #lineOf(workspace: string): WorkspaceLine {
    const known = this.#lines.get(workspace)
    if (known !== undefined) return known
    const made = new WorkspaceLine(this.#opts.clock, workspace, this.#virtualMs)
    this.#lines.set(workspace, made)
    return made
  }

  #forgetIdle(line: WorkspaceLine): void {
    if (line.isIdle) this.#lines.delete(line.workspace)
  }
}
