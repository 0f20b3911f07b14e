/**
 * An operator of a fake fleet: repeats each order until it is acknowledged, and has copies of it arrive later. Copies are
 * tied to the revision that was current when they were sent, as those of a member that forwards the order.
 */
import type { Evacuation, EvacuationChange } from '@nettlespur/core.evacuations'
import type { Command, CommandOutcome } from '@nettlespur/batch.state'
import type { Clock } from '@nettlespur/core.clock'

const repeatEveryMs = 100

export interface EvacuationOperatorOptions {
  clock: Clock
  find: (dataCentre: string) => Evacuation
  /** Resolves to undefined if the command was not committed. */
  propose: (command: Command) => Promise<CommandOutcome | undefined>
}

export interface EvacuationOrderPlan {
  readonly dataCentre: string
  readonly forMs: number
  /** When copies of the order arrive, counted from it. */
  readonly copyDelaysMs: readonly number[]
}

export class EvacuationOperator {
  readonly #opts: EvacuationOperatorOptions

  constructor(opts: EvacuationOperatorOptions) {
    this.#opts = opts
  }

  /** Evacuates the data centre for a time. Resolves once the withdrawal is acknowledged. */
  async evacuate({ dataCentre, forMs, copyDelaysMs }: EvacuationOrderPlan): Promise<void> {
    const { clock } = this.#opts
    for (const delayMs of copyDelaysMs) {
      const copy = this.#createChange(dataCentre, true)
      clock.setTimer(delayMs, () => void this.#send(copy))
    }
    await this.#order(dataCentre, true)
    await clock.sleep(forMs)
    await this.#order(dataCentre, false)
  }

  async #order(dataCentre: string, isInForce: boolean): Promise<void> {
    for (;;) {
      const outcome = await this.#send(this.#createChange(dataCentre, isInForce))
      if (outcome === 'done' || outcome === 'unchanged') return
      await this.#opts.clock.sleep(repeatEveryMs)
    }
  }

  #createChange(dataCentre: string, isInForce: boolean): EvacuationChange {
    return { dataCentre, isInForce, expectedRevision: this.#opts.find(dataCentre).revision }
  }

  #send(change: EvacuationChange): Promise<CommandOutcome | undefined> {
    return this.#opts.propose({ type: 'change-evacuation', change })
  }
}
