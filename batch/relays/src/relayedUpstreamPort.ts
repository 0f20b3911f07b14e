/**
 * The leader's port while relays may be used: each call goes through the member that the upstream is assigned to, or over
 * the leader's own port. It belongs to one term, so that no order is ever sent in the name of another term.
 */
import type {
  HoldAnswer,
  HoldOrder,
  StartAnswer,
  StartOrder,
  StopAnswer,
  StopOrder,
  UpstreamPort,
  UpstreamTarget,
} from '@nettlespur/batch.sessions'
import { runFields } from '@nettlespur/batch.model'
import { NettlespurError } from '@nettlespur/core.errors'
import { ClosablePort } from './closablePort.js'
import type { RelayMember } from './relayMember.js'
import { RelayMembers, type RelayMembersOptions } from './relayMembers.js'

export interface RelayedUpstreamPortOptions extends Omit<RelayMembersOptions, 'signal'> {
  /** The port over which this member itself calls upstreams. */
  port: UpstreamPort
}

export class RelayedUpstreamPort extends ClosablePort {
  readonly #own: UpstreamPort
  readonly #members: RelayMembers
  readonly #closing = new AbortController()

  constructor(opts: RelayedUpstreamPortOptions) {
    super()
    this.#own = opts.port
    this.#members = new RelayMembers({ ...opts, signal: this.#closing.signal })
  }

  /** Peer addresses of the members that serve upstreams; empty while no relays are used. */
  get servingAddresses(): readonly string[] {
    return this.#members.servingAddresses
  }

  override async start(
    to: UpstreamTarget,
    order: StartOrder,
    timeoutMs: number,
  ): Promise<StartAnswer> {
    const member = this.#members.assign(to.address)
    if (member === undefined) return this.#own.start(to, order, timeoutMs)
    const { payload, checkpoint, leaseEndMs, fence } = order
    const run = runFields(order.run)
    const relayed = { type: 'start' as const, run, payload, checkpoint, leaseEndMs, fence }
    const outcome = await member.call(to, relayed, timeoutMs)
    if (outcome.type !== 'start') throw createMismatchError()
    return { clockMs: undefined, ...outcome.answer }
  }

  override async stop(
    to: UpstreamTarget,
    order: StopOrder,
    timeoutMs: number,
  ): Promise<StopAnswer> {
    const member = this.#members.assign(to.address)
    if (member === undefined) return this.#own.stop(to, order, timeoutMs)
    const relayed = { type: 'stop' as const, run: runFields(order.run), fence: order.fence }
    const outcome = await member.call(to, relayed, timeoutMs)
    if (outcome.type !== 'stop') throw createMismatchError()
    return { clockMs: undefined, ...outcome.answer }
  }

  override async hold(
    to: UpstreamTarget,
    order: HoldOrder,
    timeoutMs: number,
  ): Promise<HoldAnswer> {
    const member = this.#members.assign(to.address)
    if (member === undefined) return this.#own.hold(to, order, timeoutMs)
    try {
      return await this.#holdThrough(member, to, order, timeoutMs)
    } catch (thrown) {
      // The loss of the relay says nothing about the upstream, and a poll may be repeated without harm.
      if (member.isServing || this.#closing.signal.aborted) throw thrown
      const next = this.#members.assign(to.address)
      if (next === undefined) return this.#own.hold(to, order, timeoutMs)
      return this.#holdThrough(next, to, order, timeoutMs)
    }
  }

  async #holdThrough(
    member: RelayMember,
    to: UpstreamTarget,
    { leaseEndMs, fence, cursor, waitMs }: HoldOrder,
    timeoutMs: number,
  ): Promise<HoldAnswer> {
    const relayed = { type: 'hold' as const, leaseEndMs, fence, cursor, waitMs }
    const outcome = await member.call(to, relayed, timeoutMs)
    if (outcome.type !== 'hold') throw createMismatchError()
    const { answer } = outcome
    if (answer.type !== 'gone') return { clockMs: undefined, ...answer }
    const { successorId, clockMs } = answer
    return { type: 'gone', clockMs, ...(successorId === undefined ? {} : { successorId }) }
  }

  /** Calls in progress end with their own timeouts; later ones go over this member's own port. */
  close(): void {
    this.#closing.abort()
  }
}

/** `PendingCall` settles a call only with an outcome of its own type. */
function createMismatchError(): NettlespurError {
  return new NettlespurError('outcome-unknown', 'the relay answered another type of order')
}
