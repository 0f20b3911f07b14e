/** Relays on a manual clock, behind links that can fail in the ways that members fail. */
import {
  answerRequestSchema,
  orderBatchSchema,
  Relay,
  relayAnswersSchema,
  RelayLink,
  relayReceiptSchema,
  type AnswerRequest,
  type OrderBatch,
  type RelayAnswers,
  type RelayReceipt,
} from '@nettlespur/batch.relays'
import type { UpstreamPort } from '@nettlespur/batch.sessions'
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import { MetricsRegistry } from '@nettlespur/core.metrics'

/**
 * `killed`: nobody listens, and another process starts at the end. `frozen`: messages reach it at the end. `cut`: they are
 * lost. `duplicating`: batches of orders reach it twice. `deaf`: batches of orders are lost, and their receipts with them.
 */
export type RelayFault = 'killed' | 'frozen' | 'cut' | 'duplicating' | 'deaf'

const linkMs = 2
const callTimeoutMs = 700
const secondCopyMs = 40

interface SimulatedRelay {
  relay: Relay
  fault: RelayFault | undefined
  /** Resolves at the end of the fault. */
  mended: Promise<void>
  mend: () => void
}

export class SimulatedRelayLink extends RelayLink {
  /** Messages sent so far. */
  messages = 0
  /** The addresses to which orders went, in this order. */
  readonly orderedAddresses: string[] = []
  readonly #clock: Clock
  readonly #port: UpstreamPort
  readonly #relays = new Map<string, SimulatedRelay>()

  constructor(opts: { clock: Clock; port: UpstreamPort; addresses: readonly string[] }) {
    super()
    this.#clock = opts.clock
    this.#port = opts.port
    for (const address of opts.addresses) {
      const relay = this.#createRelay()
      const mended = Promise.resolve()
      this.#relays.set(address, { relay, fault: undefined, mended, mend: () => undefined })
    }
  }

  break(address: string, fault: RelayFault): void {
    const member = this.#find(address)
    this.mend(address)
    member.fault = fault
    member.mended = new Promise((resolve) => {
      member.mend = resolve
    })
  }

  mend(address: string): void {
    const member = this.#find(address)
    if (member.fault === 'killed') member.relay = this.#createRelay()
    member.fault = undefined
    member.mend()
  }

  mendAll(): void {
    for (const address of this.#relays.keys()) this.mend(address)
  }

  override async sendOrders(address: string, batch: OrderBatch): Promise<RelayReceipt> {
    if (batch.calls.length > 0) this.orderedAddresses.push(address)
    const member = this.#find(address)
    const copy = orderBatchSchema.parse(throughJson(batch))
    const handle = (): Promise<RelayReceipt> => Promise.resolve(member.relay.handleOrders(copy, 0))
    if (member.fault === 'duplicating') {
      this.#clock.setTimer(secondCopyMs, () => {
        void handle()
      })
    }
    if (member.fault === 'deaf') return this.#timeOut()
    return relayReceiptSchema.parse(throughJson(await this.#deliver(member, handle)))
  }

  override async takeAnswers(address: string, request: AnswerRequest): Promise<RelayAnswers> {
    const member = this.#find(address)
    const copy = answerRequestSchema.parse(throughJson(request))
    const handle = (): Promise<RelayAnswers> => member.relay.takeAnswers(copy, 0)
    return relayAnswersSchema.parse(throughJson(await this.#deliver(member, handle)))
  }

  async #deliver<T>(member: SimulatedRelay, handle: () => Promise<T>): Promise<T> {
    this.messages += 1
    return Promise.race([this.#carry(member, handle), this.#timeOut()])
  }

  async #carry<T>(member: SimulatedRelay, handle: () => Promise<T>): Promise<T> {
    const { relay } = member
    if (member.fault === 'killed') throw new NettlespurError('unreachable', 'nobody listens')
    await this.#pass(member)
    if (isGone(member, relay)) throw new NettlespurError('outcome-unknown', 'connection lost')
    const answer = await handle()
    await this.#pass(member)
    if (isGone(member, relay)) throw new NettlespurError('outcome-unknown', 'connection lost')
    return answer
  }

  async #pass(member: SimulatedRelay): Promise<void> {
    await this.#clock.sleep(linkMs)
    if (member.fault === 'cut') await this.#timeOut()
    if (member.fault === 'frozen') await member.mended
  }

  async #timeOut(): Promise<never> {
    await this.#clock.sleep(callTimeoutMs)
    throw new NettlespurError('outcome-unknown', 'no answer')
  }

  #find(address: string): SimulatedRelay {
    const member = this.#relays.get(address)
    if (member === undefined) throw new NettlespurError('unreachable', 'no such member')
    return member
  }

  #createRelay(): Relay {
    return new Relay({ clock: this.#clock, metrics: new MetricsRegistry(), port: this.#port })
  }
}

/** Whether the process that a message was sent to has been killed since. */
function isGone({ fault, relay }: SimulatedRelay, addressed: Relay): boolean {
  return fault === 'killed' || relay !== addressed
}

function throughJson(message: unknown): unknown {
  return JSON.parse(JSON.stringify(message))
}
