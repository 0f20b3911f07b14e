/**
 * Owns what a process opens and closes it in reverse order, once, within a deadline. Each daemon has one;
 * a part that owns several things makes a child.
 */
import type { Clock } from '@nettlespur/core.clock'

export interface LifecycleManagerOptions {
  clock: Clock
  /** How long clean-up may take in all, in milliseconds. */
  drainDeadlineMs: number
  /** Told of each step that failed or did not end in time. */
  onFault?: (fault: CleanUpFault) => void
}

/** One clean-up step that did not end well. */
export interface CleanUpFault {
  readonly name: string
  readonly cause: unknown
}

interface Owned {
  readonly name: string
  readonly cleanUp: () => void | Promise<void>
}

export class LifecycleManager {
  readonly #opts: LifecycleManagerOptions
  readonly #owned: Owned[] = []
  readonly #stopping = new AbortController()
  #stopped: Promise<void> | undefined

  constructor(opts: LifecycleManagerOptions) {
    this.#opts = opts
  }

  /** Aborted when the stop begins: long-running tasks watch it. */
  get stopSignal(): AbortSignal {
    return this.#stopping.signal
  }

  /** Registers a clean-up step; the last one registered runs first. */
  own(name: string, cleanUp: () => void | Promise<void>): void {
    this.#owned.push({ name, cleanUp })
  }

  /** Owns a task that runs until the stop signal; the stop waits for its end. */
  ownTask(name: string, run: (signal: AbortSignal) => Promise<void>): void {
    const ended = run(this.stopSignal).catch((cause: unknown) => {
      this.#opts.onFault?.({ name, cause })
    })
    this.own(name, () => ended)
  }

  /** Stops once; later calls get the same promise. */
  stop(): Promise<void> {
    this.#stopped ??= this.#stopAll()
    return this.#stopped
  }

  async #stopAll(): Promise<void> {
    this.#stopping.abort()
    const deadlineMs = this.#opts.clock.monotonicMs() + this.#opts.drainDeadlineMs
    for (const step of this.#owned.reverse()) {
      await this.#runStep(step, Math.max(0, deadlineMs - this.#opts.clock.monotonicMs()))
    }
  }

  async #runStep(step: Owned, remainingMs: number): Promise<void> {
    const abort = new AbortController()
    const late = this.#opts.clock.sleep(remainingMs, abort.signal).then(() => {
      if (!abort.signal.aborted) throw new Error('did not end before the drain deadline')
    })
    try {
      await Promise.race([Promise.resolve(step.cleanUp()), late])
    } catch (cause) {
      this.#opts.onFault?.({ name: step.name, cause })
    } finally {
      abort.abort()
    }
  }
}
