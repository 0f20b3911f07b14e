/** How one disk is at present, whatever process uses it. */
import type { ManualClock } from '@nettlespur/core.clock'

/** A sync of the smaller deployments takes 4 to 6 ms. */
const syncMs = { shortest: 3, longest: 7 }
const slowFactor = 40

export class DiskState {
  isSlow = false
  /** Refuses every write. */
  isFull = false
  readonly #clock: ManualClock
  readonly #random: () => number
  #stalled: (() => void)[] | undefined

  constructor(clock: ManualClock, random: () => number) {
    this.#clock = clock
    this.#random = random
  }

  get isStalled(): boolean {
    return this.#stalled !== undefined
  }

  stall(): void {
    this.#stalled ??= []
  }

  heal(): void {
    this.isSlow = false
    this.isFull = false
    const stalled = this.#stalled ?? []
    this.#stalled = undefined
    for (const goOn of stalled) goOn()
  }

  /** The time a sync takes, and for how long the disk hangs. */
  async sync(): Promise<void> {
    const { shortest, longest } = syncMs
    const tookMs = shortest + this.#random() * (longest - shortest)
    await this.#clock.sleep(tookMs * (this.isSlow ? slowFactor : 1))
    await this.pass()
  }

  /** For how long the disk hangs. */
  async pass(): Promise<void> {
    while (this.#stalled !== undefined) {
      const waiting = this.#stalled
      await new Promise<void>((resolve) => {
        waiting.push(resolve)
      })
    }
  }
}
