/**
 * Simulated links between the nodes of a test. Requests and answers are delivered after a random delay; either may be
 * late or lost, and links can be cut.
 */
import type { Clock } from '@nettlespur/core.clock'
import {
  RaftTransport,
  type AppendAnswer,
  type AppendRequest,
  type InstallAnswer,
  type InstallRequest,
  type Member,
  type RaftNode,
  type TimeoutNowRequest,
  type VoteAnswer,
  type VoteRequest,
} from '../src/index.js'

const maxDelayMs = 30
const callTimeoutMs = 750
/** Extra delay of a late message: long enough for messages sent after it to overtake it. */
const lateDelayMs = 3000

export class MemoryLinks {
  readonly nodes = new Map<string, RaftNode<number>>()
  /** Share of messages, from 0 to 1, that are delayed by `lateDelayMs`. */
  lateShare = 0
  /** Share of messages, from 0 to 1, that are lost. */
  lossShare = 0
  /** Deliveries held back for each paused node, by member id. */
  readonly pausedDeliveries = new Map<string, (() => void)[]>()
  /** Cut links, one for each direction, as `FROM TO`. */
  readonly cutLinks = new Set<string>()
  readonly #clock: Clock
  readonly #random: () => number
  /** The side of the partition that each node is on; 0 for nodes that are not listed. */
  #partitionSides = new Map<string, number>()

  constructor(clock: Clock, random: () => number) {
    this.#clock = clock
    this.#random = random
  }

  /** Separates the given nodes from all others; an empty list ends the partition. */
  partition(isolated: readonly string[]): void {
    this.#partitionSides = new Map(isolated.map((memberId) => [memberId, 1]))
  }

  /** Cuts the link between two nodes in both directions. */
  cutLink(one: string, other: string): void {
    this.cutLinks.add(`${one} ${other}`)
    this.cutLinks.add(`${other} ${one}`)
  }

  resume(memberId: string): void {
    const waiting = this.pausedDeliveries.get(memberId) ?? []
    this.pausedDeliveries.delete(memberId)
    for (const resume of waiting) resume()
  }

  createTransport(from: string, payloadBytesMax = Infinity): RaftTransport {
    return new LinkTransport(this, from, payloadBytesMax)
  }

  async send<T>(
    from: string,
    to: string,
    deliver: (node: RaftNode<number>) => Promise<T>,
  ): Promise<T> {
    return Promise.race([this.#exchange(from, to, deliver), this.#rejectAfterTimeout()])
  }

  async #exchange<T>(
    from: string,
    to: string,
    deliver: (node: RaftNode<number>) => Promise<T>,
  ): Promise<T> {
    await this.#transmit(from, to)
    const node = this.nodes.get(to)
    if (node === undefined) throw new Error(`${to} is down`)
    const answer = await deliver(node)
    await this.#transmit(to, from)
    return answer
  }

  async #transmit(from: string, to: string): Promise<void> {
    const late = this.#random() < this.lateShare ? lateDelayMs : 0
    await this.#clock.sleep(this.#random() * maxDelayMs + late)
    await this.#waitWhilePaused(to)
    const cut =
      this.cutLinks.has(`${from} ${to}`) ||
      (this.#partitionSides.get(from) ?? 0) !== (this.#partitionSides.get(to) ?? 0)
    if (cut || this.#random() < this.lossShare) await new Promise<never>(() => undefined)
  }

  async #waitWhilePaused(memberId: string): Promise<void> {
    const waiting = this.pausedDeliveries.get(memberId)
    if (waiting === undefined) return
    await new Promise<void>((resume) => {
      waiting.push(resume)
    })
  }

  async #rejectAfterTimeout(): Promise<never> {
    await this.#clock.sleep(callTimeoutMs)
    throw new Error('no answer in time')
  }
}

class LinkTransport extends RaftTransport {
  readonly payloadBytesMax: number
  readonly #links: MemoryLinks
  readonly #from: string

  constructor(links: MemoryLinks, from: string, payloadBytesMax: number) {
    super()
    this.payloadBytesMax = payloadBytesMax
    this.#links = links
    this.#from = from
  }

  requestVote(to: Member, request: VoteRequest): Promise<VoteAnswer> {
    return this.#send(to, (node) => node.handleVote(request))
  }

  appendEntries(to: Member, request: AppendRequest): Promise<AppendAnswer> {
    return this.#send(to, (node) => node.handleAppend(request))
  }

  installSnapshot(to: Member, request: InstallRequest): Promise<InstallAnswer> {
    return this.#send(to, (node) => node.handleInstall(request))
  }

  timeoutNow(to: Member, request: TimeoutNowRequest): Promise<void> {
    return this.#send(to, (node) => node.handleTimeoutNow(request))
  }

  #send<T>(to: Member, deliver: (node: RaftNode<number>) => Promise<T>): Promise<T> {
    return this.#links.send(this.#from, to.memberId, deliver)
  }
}
