/** Access to the replicated log for a running gang: retries until it succeeds or this leadership ends. */
import type { Command, CommandResult } from '@nettlespur/control.state'
import type { GangOptions } from './gangOptions.js'

const retryMs = 200

export class LeaderLog {
  readonly #opts: GangOptions
  readonly #signal: AbortSignal

  constructor(opts: GangOptions, signal: AbortSignal) {
    this.#opts = opts
    this.#signal = signal
  }

  /** Rejects when the leadership ends. */
  async commit(command: Command): Promise<CommandResult> {
    for (;;) {
      this.#signal.throwIfAborted()
      const outcome = await this.#opts.log.propose(command).run()
      if (outcome.isRight()) return outcome.extract()
      const reason = outcome
        .swap()
        .map((error) => error.message)
        .orDefault('')
      this.#opts.logger.warn({ event: 'gang.commit-failed', type: command.type, reason })
      await this.#opts.clock.sleep(retryMs, this.#signal)
    }
  }

  /**
   * Waits until a quorum confirms that this instance still leads: a leader that is cut off must not stop a
   * gang that another leader may be running. Meanwhile this instance renews no lease of the gang, so that the
   * gang ends when its leases expire at the latest. Rejects when the leadership ends.
   */
  async confirmLeadership(): Promise<void> {
    while ((await this.#opts.log.readBarrier().run()).isLeft()) {
      this.#signal.throwIfAborted()
      await this.#opts.clock.sleep(retryMs, this.#signal)
    }
    this.#signal.throwIfAborted()
  }
}
