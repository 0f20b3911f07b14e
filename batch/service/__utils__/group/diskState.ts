/** The simulated faults of one disk, which outlast the processes that use it. */
import type { ManualClock } from '@nettlespur/core.clock'

/** A sync takes 4 to 6 ms in the smaller deployments. */
const syncMs = { shortest: 3, longest: 7 }
const slowFactor = 40

export class DiskState {
  isSlow = false
  /** Refuses every write. */
  isFull = false
  readonly #clock: ManualClock
  readonly #random: () => number
  #stalledCalls: (() => void)[] | undefined

  constructor(clock: ManualClock, random: () => number) {
    this.#clock = clock
    this.#random = random
  }

  get isStalled(): boolean {
    return this.#stalledCalls !== undefined
  }

  stall(): void {
    this.#stalledCalls ??= []
  }

  heal(): void {
    this.isSlow = false
    this.isFull = false
    const stalled = this.#stalledCalls ?? []
    this.#stalledCalls = undefined
    for (const resume of stalled) resume()
  }

  /** Resolves after the time that a sync takes, and not while the disk is stalled. */
  async sync(): Promise<void> {
    const { shortest, longest } = syncMs
    const tookMs = shortest + this.#random() * (longest - shortest)
    await this.#clock.sleep(tookMs * (this.isSlow ? slowFactor : 1))
    await this.waitWhileStalled()
  }

  /** Resolves at once, or when the disk is no longer stalled. */
  async waitWhileStalled(): Promise<void> {
    while (this.#stalledCalls !== undefined) {
      const waiting = this.#stalledCalls
      await new Promise<void>((resolve) => {
        waiting.push(resolve)
      })
    }
  }
}
