/**
 * An operator who evacuates data centres and takes them back while a group is under faults. Each order is repeated until
 * it is acknowledged, as a rule by another process each time, and copies of it reach the leader seconds later.
 */
import { createSeededRandom } from '@nettlespur/consensus.raft/fakes'
import { unwrap } from '@nettlespur/core.errors'
import { orderEvacuation, type EvacuationOrder } from '@nettlespur/core.evacuations'
import type { ControlGroup } from './controlGroup.js'

const dataCentres = ['north', 'south']
const pauseMs = { shortest: 100, longest: 2500 }
const answerWithinMs = 1000
const repeatEveryMs = 150
const copyShare = 0.5
const copyDelayMsMax = 5000
const finishWithinMs = 10_000

export class GroupOperator {
  readonly #group: ControlGroup
  readonly #random: () => number
  /** The last acknowledged order for each data centre. */
  readonly #acknowledged = new Map<string, boolean>()
  #open = 0
  #isStopping = false

  constructor(group: ControlGroup, seed: number) {
    this.#group = group
    this.#random = createSeededRandom(seed)
    for (const dataCentre of dataCentres) void this.#operate(dataCentre)
  }

  get orderCount(): number {
    return this.#group.trace.filter((line) => line.includes('ACKNOWLEDGED')).length
  }

  /** Waits for the orders under way, and returns what is not as it was acknowledged. */
  async finish(): Promise<string[]> {
    this.#isStopping = true
    const { clock } = this.#group
    const endMs = clock.monotonicMs() + finishWithinMs
    while (this.#open > 0 && clock.monotonicMs() < endMs) await clock.advance(repeatEveryMs)
    if (this.#open > 0) return [`${this.#open} orders without an acknowledgement`]
    await clock.advance(copyDelayMsMax + answerWithinMs)
    const evacuated = new Set(await this.#listEvacuated())
    return [...this.#acknowledged].flatMap(([dataCentre, isInForce]) =>
      evacuated.has(dataCentre) === isInForce
        ? []
        : [
            `${dataCentre} was acknowledged as ${isInForce ? 'evacuated' : 'taken back'}, and is not`,
          ],
    )
  }

  async #operate(dataCentre: string): Promise<void> {
    this.#open += 1
    for (let isInForce = true; !this.#isStopping; isInForce = !isInForce) {
      await this.#order({ dataCentre, isInForce })
      await this.#group.clock.sleep(this.#between(pauseMs.shortest, pauseMs.longest))
    }
    this.#open -= 1
  }

  async #order(order: EvacuationOrder): Promise<void> {
    const { clock } = this.#group
    for (;;) {
      if (this.#random() < copyShare) void this.#sendCopy(order)
      if (await Promise.race([this.#send(order), clock.sleep(answerWithinMs)])) break
      await clock.sleep(repeatEveryMs)
    }
    const { dataCentre, isInForce } = order
    this.#acknowledged.set(dataCentre, isInForce)
    this.#group.note(`ACKNOWLEDGED ${dataCentre} ${String(isInForce)}`)
  }

  /** Resolves to whether a process that is still there acknowledged it. */
  async #send(order: EvacuationOrder): Promise<boolean> {
    const leader = this.#group.leader?.process
    if (leader?.node === undefined) return false
    const { calls } = leader.node
    const outcome = await orderEvacuation(
      {
        list: () => calls.listEvacuations(),
        change: (change) => calls.changeEvacuation(change),
      },
      order,
    ).run()
    return outcome.isRight() && !leader.hasEnded && !leader.clock.isPaused
  }

  /** The order as another member forwards it: with the revision of now, and a delay. */
  async #sendCopy({ dataCentre, isInForce }: EvacuationOrder): Promise<void> {
    const evacuations = await this.#group.leader?.node?.calls.listEvacuations().run()
    const known = evacuations?.toMaybe().extract() ?? []
    const expectedRevision =
      known.find((evacuation) => evacuation.dataCentre === dataCentre)?.revision ?? 0
    await this.#group.clock.sleep(this.#between(0, copyDelayMsMax))
    const change = { dataCentre, isInForce, expectedRevision }
    await this.#group.leader?.node?.calls.changeEvacuation(change).run()
  }

  async #listEvacuated(): Promise<string[]> {
    const calls = this.#group.leader?.node?.calls
    if (calls === undefined) return []
    const evacuations = await unwrap(calls.listEvacuations())
    return evacuations.flatMap(({ dataCentre, isInForce }) => (isInForce ? [dataCentre] : []))
  }

  #between(low: number, high: number): number {
    return low + this.#random() * (high - low)
  }
}
