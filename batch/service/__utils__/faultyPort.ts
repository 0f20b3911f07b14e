/** Sends orders to fake upstreams over links that lose answers, delay orders, refuse connections or go silent. */
import {
  UpstreamPort,
  type HoldAnswer,
  type HoldOrder,
  type StartAnswer,
  type StartOrder,
  type StopAnswer,
  type StopOrder,
  type UpstreamTarget,
} from '@nettlespur/batch.sessions'
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import type { FakeUpstream } from '@nettlespur/batch.fakes'
import { getAnnouncedId, type RunRef } from '@nettlespur/batch.model'

/**
 * What the link does with one call. `answer-lost`: the call is carried out, and its answer is lost. `late`: the call
 * is carried out with a delay, and not answered. `refused`: the call fails as unreachable. `silent`: the call is
 * neither carried out nor answered. `unread-rows` and `hidden-rows`: every second row in the answer to a hold cannot
 * be read and is left out. `invalid-starts`, `unhealthy-starts`: a start is refused as invalid, or by an upstream that is
 * not healthy.
 */
export type LinkFault =
  | 'none'
  | 'answer-lost'
  | 'late'
  | 'refused'
  | 'silent'
  | 'unread-rows'
  | 'hidden-rows'
  | 'invalid-starts'
  | 'unhealthy-starts'

/** Hidden rows change after this many hold calls to all upstreams; each gets about ten a second while rows are unread. */
const holdsPerHiddenPhase = 150

/** Faults with which the call is answered. */
const answeredFaults: ReadonlySet<LinkFault> = new Set([
  'none',
  'unread-rows',
  'hidden-rows',
  'invalid-starts',
  'unhealthy-starts',
])

/** As polls are sent until it is certain that the process addressed is the one that answers. */
const unconfirmedTerms = { cursor: 0, leaseEndMs: undefined, waitMs: 0 }

export interface FaultyPortOptions {
  clock: Clock
  /** The upstream that answers at an address now. */
  findUpstream: (address: string) => FakeUpstream | undefined
  nextFault: (address: string) => LinkFault
  /** Whether an answer that the upstream at the address gives now is lost. */
  losesAnswers: (address: string) => boolean
  /** The delay of the next message in its direction. Calls overtake each other, as on different connections. */
  nextLinkDelayMs: () => number
  /** The delay after which a late order is carried out. */
  nextLatenessMs: () => number
  /** Whether upstreams remember cursors. A late poll then reaches no later process, which could not undo its cursor. */
  remembersCursor: boolean
  /** Called with each start that a leader sends. */
  onStartSent: (to: UpstreamTarget, run: RunRef) => void
  /** Whether the run is placed now. */
  isPlaced: (run: RunRef) => boolean
}

export class FaultyPort extends UpstreamPort {
  /** Hold calls so far. Tests bound them, as an idle upstream must not be polled all the time. */
  holdCalls = 0
  /** Start calls so far, including refused ones. */
  startCalls = 0
  readonly #opts: FaultyPortOptions

  constructor(opts: FaultyPortOptions) {
    super()
    this.#opts = opts
  }

  override start(to: UpstreamTarget, order: StartOrder, timeoutMs: number): Promise<StartAnswer> {
    this.startCalls += 1
    this.#opts.onStartSent(to, order.run)
    return this.#call(to, timeoutMs, (upstream, fault) => {
      const { clockMs } = upstream
      // No leader could keep such an order from a process that nobody has reached yet.
      const isStray = upstream.processId !== to.upstreamId && !this.#opts.isPlaced(order.run)
      if (fault === 'late' && isStray) return Promise.resolve({ type: 'gone', clockMs: undefined })
      if (fault === 'invalid-starts') {
        return Promise.resolve({ type: 'refused', reason: 'invalid', clockMs })
      }
      if (fault === 'unhealthy-starts') {
        return Promise.resolve({ type: 'refused', reason: 'unhealthy', clockMs })
      }
      return Promise.resolve(upstream.start(order))
    })
  }

  override stop(to: UpstreamTarget, order: StopOrder, timeoutMs: number): Promise<StopAnswer> {
    return this.#call(to, timeoutMs, (upstream) => Promise.resolve(upstream.stop(order)))
  }

  override hold(to: UpstreamTarget, order: HoldOrder, timeoutMs: number): Promise<HoldAnswer> {
    this.holdCalls += 1
    const callNumber = this.holdCalls
    return this.#call<HoldAnswer>(to, timeoutMs, async (upstream, fault) => {
      if (upstream.processId !== to.upstreamId) return this.#holdLater(upstream, order, fault)
      const answer = await upstream.hold(order)
      if (fault === 'unread-rows') return leaveOutRows(answer, callNumber)
      if (fault === 'hidden-rows')
        return leaveOutRows(answer, Math.floor(callNumber / holdsPerHiddenPhase))
      return answer
    })
  }

  /** A poll that was meant for an earlier process. Only one that comes late carries its cursor and its lease. */
  async #holdLater(
    upstream: FakeUpstream,
    order: HoldOrder,
    fault: LinkFault,
  ): Promise<HoldAnswer> {
    const isLate = fault === 'late'
    if (isLate && this.#opts.remembersCursor) return { type: 'gone', clockMs: undefined }
    const answer = await upstream.hold(isLate ? order : { ...order, ...unconfirmedTerms })
    if (answer.type !== 'held') return answer
    return { type: 'gone', clockMs: undefined, successorId: upstream.processId }
  }

  async #call<T>(
    to: UpstreamTarget,
    timeoutMs: number,
    run: (upstream: FakeUpstream, fault: LinkFault) => Promise<T>,
  ): Promise<T | { type: 'gone'; clockMs: undefined }> {
    const { address } = to
    const { clock, findUpstream, nextFault, losesAnswers, nextLinkDelayMs, nextLatenessMs } =
      this.#opts
    const fault = nextFault(address)
    await clock.sleep(nextLinkDelayMs())
    if (fault === 'refused') throw new NettlespurError('unreachable', 'refused')
    const carryOut = async (): Promise<T | { type: 'gone'; clockMs: undefined }> => {
      const upstream = findUpstream(address)
      if (upstream?.isUp !== true) throw new NettlespurError('unreachable', 'nobody listens')
      if (upstream.upstreamId !== getAnnouncedId(to)) return { type: 'gone', clockMs: undefined }
      return run(upstream, fault)
    }
    if (answeredFaults.has(fault)) {
      const answer = await carryOut()
      if (!losesAnswers(address)) {
        await clock.sleep(nextLinkDelayMs())
        return answer
      }
    }
    if (fault === 'answer-lost') await carryOut()
    if (fault === 'late') {
      clock.setTimer(nextLatenessMs(), () => {
        carryOut().catch(() => undefined)
      })
    }
    await clock.sleep(timeoutMs)
    throw new NettlespurError('outcome-unknown', `no answer within ${timeoutMs} ms`)
  }
}

/**
 * Leaves out every second row: the even or the odd ones, as `phase` is. A phase that changes with each answer lists a
 * run in every second answer; one that changes slowly hides a run for seconds.
 */
function leaveOutRows(answer: HoldAnswer, phase: number): HoldAnswer {
  if (answer.type !== 'held') return answer
  const isRead = (_: unknown, at: number): boolean => (at + phase) % 2 === 0
  const running = answer.running.filter(isRead)
  const finished = answer.finished.filter(isRead)
  const listed = answer.running.length + answer.finished.length
  const unreadRows = listed - running.length - finished.length
  return { ...answer, running, finished, unreadRows }
}
