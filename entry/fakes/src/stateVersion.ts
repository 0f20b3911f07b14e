/** The version of a fake's state, which rises with each change, so that long polls can wait for the next one. */
import type { Clock } from '@nettlespur/core.clock'
import { BehaviorSubject } from 'rxjs'

export class StateVersion {
  readonly #clock: Clock
  readonly #subject = new BehaviorSubject(0)

  constructor(clock: Clock) {
    this.#clock = clock
  }

  get value(): number {
    return this.#subject.value
  }

  increment(): void {
    this.#subject.next(this.value + 1)
  }

  /** Resolves at the next change, or after `waitMs`. */
  async awaitChange(waitMs: number): Promise<void> {
    const changed = new AbortController()
    const before = this.value
    const subscription = this.#subject.subscribe((version) => {
      if (version !== before) changed.abort()
    })
    await this.#clock.sleep(waitMs, changed.signal)
    subscription.unsubscribe()
  }
}
