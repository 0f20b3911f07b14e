/**
 * Keeps the way to the leader fresh while nobody calls. A process that is idle learns of a silent connection, of
 * another leader and of its own isolation here, and not from the first caller that waits for it.
 */
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import type { LeaderFinder } from './leaderFinder.js'

/** A leader that answered a call within this time is not asked; an idle process costs it one small call a second. */
const checkIntervalMs = 1000
/** Between looks after one that nobody answered. */
const unansweredIntervalMs = 500
/** Between looks while members answer and none leads: calls are refused on the word of the last look. */
const leaderlessIntervalMs = 250
/** Looks in a row that nobody answered: about 2.5 s, more than the 2 s in which a group without a leader elects one. */
const missesMax = 3

export interface LeaderWatchOptions {
  clock: Clock
  logger: Logger
}

export class LeaderWatch {
  readonly #opts: LeaderWatchOptions
  readonly #finder: LeaderFinder
  #misses = 0

  constructor(opts: LeaderWatchOptions, finder: LeaderFinder) {
    this.#opts = opts
    this.#finder = finder
  }

  /** False once no member at all has answered several looks; a member that knows no leader counts as an answer. */
  get canReachMembers(): boolean {
    return this.#misses < missesMax
  }

  /** One task, until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isAnswered = await this.#finder.refresh(checkIntervalMs)
      this.#recordCheck(isAnswered)
      await this.#opts.clock.sleep(this.#pauseMs(isAnswered), signal)
    }
  }

  #pauseMs(isAnswered: boolean): number {
    if (!isAnswered) return unansweredIntervalMs
    return this.#finder.leaderAddress === undefined ? leaderlessIntervalMs : checkIntervalMs
  }

  #recordCheck(isAnswered: boolean): void {
    const couldReach = this.canReachMembers
    this.#misses = isAnswered ? 0 : this.#misses + 1
    if (this.canReachMembers === couldReach) return
    const event = couldReach ? 'members.unreachable' : 'members.reachable'
    this.#opts.logger.warn({ event, misses: this.#misses, quietMs: this.#finder.quietMs })
  }
}
