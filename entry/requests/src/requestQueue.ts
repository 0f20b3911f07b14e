/**
 * Requests that wait for a place among their workspace's concurrent ones and for a slot on an upstream.
 * Workspaces take turns; within one, first come, first served. Whoever gives up is told at once.
 */
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import type { ClusterView } from '@nettlespur/entry.view'
import { EitherAsync, Left, Right, type Either } from 'purify-ts'
import { merge, type Subscription } from 'rxjs'
import type { ShortRequest } from './shortRequest.js'
import type { SlotSource } from './slotSource.js'
import type { PickedUpstream, UpstreamPicker } from './upstreamPicker.js'
import type { WorkspaceQuotas } from './workspaceQuotas.js'

const retryAfterMs = 1000

export interface RequestQueueOptions {
  clock: Clock
  view: ClusterView
  slots: SlotSource
  quotas: WorkspaceQuotas
  picker: UpstreamPicker
}

/** A slot taken for one attempt. */
export interface SlotGrant extends PickedUpstream {
  readonly fence: number
}

type Settle = (outcome: Either<NettlespurError, SlotGrant>) => void

interface Waiter {
  readonly avoid: ReadonlySet<string>
  /** True for a later attempt: the request has its place already. */
  readonly placed: boolean
  readonly settle: Settle
}

interface WorkspaceLine {
  placed: number
  waiters: Waiter[]
}

export class RequestQueue {
  readonly #opts: RequestQueueOptions
  readonly #lines = new Map<string, WorkspaceLine>()
  readonly #changes: Subscription
  #shutDown: NettlespurError | undefined

  constructor(opts: RequestQueueOptions) {
    this.#opts = opts
    const { contracts, upstreams, entries, lease } = opts.view
    this.#changes = merge(contracts, upstreams, entries, lease.held).subscribe(() => {
      this.#serveLines()
    })
  }

  /** Requests waiting now. */
  get waiting(): number {
    return [...this.#lines.values()].reduce((sum, line) => sum + line.waiters.length, 0)
  }

  /**
   * Waits for a place and the first slot. The place is held until `leave`. Errors: `no-upstream`,
   * `queue-full`, `deadline-before-start`, `cancelled-before-start`, `contract-lease-expired`.
   */
  enter(request: ShortRequest): EitherAsync<NettlespurError, SlotGrant> {
    return EitherAsync.fromPromise(() => this.#wait(request, { avoid: new Set(), placed: false }))
  }

  /** Waits for a slot of another upstream, ahead of those not started yet. Errors: those of `enter`. */
  enterAgain(
    request: ShortRequest,
    avoid: ReadonlySet<string>,
  ): EitherAsync<NettlespurError, SlotGrant> {
    return EitherAsync.fromPromise(() => this.#wait(request, { avoid, placed: true }))
  }

  releaseSlot(upstreamId: string): void {
    this.#opts.slots.release(upstreamId)
    this.#serveLines()
  }

  leave(workspace: string): void {
    const line = this.#lineOf(workspace)
    line.placed -= 1
    this.#forgetIdle(workspace, line)
    this.#serveLines()
  }

  /** Answers everyone who waits, and whoever comes later, with `error`. */
  shutDown(error: NettlespurError): void {
    this.#shutDown = error
    this.#refuseAll(error)
  }

  close(): void {
    this.#changes.unsubscribe()
  }

  #wait(
    request: ShortRequest,
    want: Omit<Waiter, 'settle'>,
  ): Promise<Either<NettlespurError, SlotGrant>> {
    const refusal = this.#refuse(request, want)
    if (refusal !== undefined) return Promise.resolve(Left(refusal))
    return new Promise((resolve) => {
      const line = this.#lineOf(request.workspace)
      const remainingMs = request.deadlineAtMs - this.#opts.clock.monotonicMs()
      const timer = this.#opts.clock.setTimer(remainingMs, () => {
        settle(Left(createDeadlineError()))
      })
      const giveUp = (): void => {
        settle(Left(new NettlespurError('cancelled-before-start', 'the caller went away')))
      }
      const settle: Settle = (outcome) => {
        timer.cancel()
        request.callerGone.removeEventListener('abort', giveUp)
        line.waiters = line.waiters.filter((other) => other !== waiter)
        this.#forgetIdle(request.workspace, line)
        resolve(outcome)
      }
      const waiter: Waiter = { ...want, settle }
      request.callerGone.addEventListener('abort', giveUp, { once: true })
      if (want.placed) line.waiters.unshift(waiter)
      else line.waiters.push(waiter)
      this.#serveLines()
      this.#boundLine(request.workspace, line, waiter)
    })
  }

  #refuse(request: ShortRequest, want: Omit<Waiter, 'settle'>): NettlespurError | undefined {
    const closed = this.#shutDown ?? this.#opts.view.lease.refusal()
    if (closed !== undefined) return closed
    if (request.callerGone.aborted) {
      return new NettlespurError('cancelled-before-start', 'the caller went away')
    }
    if (request.deadlineAtMs <= this.#opts.clock.monotonicMs()) return createDeadlineError()
    const placesMax = this.#opts.quotas.quotaOf(request.workspace)?.concurrentRequests ?? 0
    if (!want.placed && placesMax === 0) {
      const message = 'this entry has no share of the concurrent requests of this workspace'
      return new NettlespurError('over-limit', message, { retryAfterMs })
    }
    if (this.#opts.slots.countUsable(want.avoid) > 0) return undefined
    return new NettlespurError('no-upstream', 'no upstream is ready to run it', { retryAfterMs })
  }

  /** Refuses a new waiter that found no slot and a full queue. */
  #boundLine(workspace: string, line: WorkspaceLine, waiter: Waiter): void {
    if (waiter.placed || !line.waiters.includes(waiter)) return
    const queuedMax = this.#opts.quotas.quotaOf(workspace)?.queuedRequests ?? 0
    const queued = line.waiters.filter((other) => !other.placed).length
    if (queued <= queuedMax) return
    const message = `${queuedMax} requests of this workspace wait here already`
    waiter.settle(Left(new NettlespurError('queue-full', message, { retryAfterMs })))
  }

  /** Gives slots to waiters, one workspace after another, until nothing more can be given. */
  #serveLines(): void {
    const lapsed = this.#opts.view.lease.refusal()
    if (lapsed !== undefined) {
      this.#refuseAll(lapsed)
      return
    }
    let progress = true
    while (progress) {
      progress = false
      for (const [workspace, line] of [...this.#lines]) {
        if (!this.#serveOne(workspace, line)) continue
        progress = true
        this.#moveBehind(workspace, line)
      }
    }
  }

  #serveOne(workspace: string, line: WorkspaceLine): boolean {
    const placesMax = this.#opts.quotas.quotaOf(workspace)?.concurrentRequests ?? 0
    for (const waiter of line.waiters) {
      if (!waiter.placed && line.placed >= placesMax) continue
      const picked = this.#opts.picker.pick(this.#opts.slots.listFree(waiter.avoid))
      if (picked === undefined) continue
      const fence = this.#opts.slots.take(picked.upstream.upstreamId)
      if (!waiter.placed) line.placed += 1
      waiter.settle(Right({ ...picked, fence }))
      return true
    }
    return false
  }

  #refuseAll(error: NettlespurError): void {
    for (const line of [...this.#lines.values()]) {
      for (const waiter of [...line.waiters]) waiter.settle(Left(error))
    }
  }

  #lineOf(workspace: string): WorkspaceLine {
    const known = this.#lines.get(workspace)
    if (known !== undefined) return known
    const made: WorkspaceLine = { placed: 0, waiters: [] }
    this.#lines.set(workspace, made)
    return made
  }

  /** Puts a workspace that was served behind the others. */
  #moveBehind(workspace: string, line: WorkspaceLine): void {
    if (this.#lines.delete(workspace)) this.#lines.set(workspace, line)
  }

  #forgetIdle(workspace: string, line: WorkspaceLine): void {
    if (line.placed === 0 && line.waiters.length === 0) this.#lines.delete(workspace)
  }
}

function createDeadlineError(): NettlespurError {
  const message = 'its deadline passed before it could start'
  return new NettlespurError('deadline-before-start', message, { retryAfterMs })
}
