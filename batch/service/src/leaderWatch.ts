/**
 * Checks the leader while no calls are made, so that an idle process detects a dead connection, a new leader or its own
 * isolation before the next call has to wait for it.
 */
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import type { LeaderFinder } from './leaderFinder.js'

/** A leader that has answered within this time is not asked; an idle process costs it one small call a second. */
const checkIntervalMs = 1000
/** Interval after a check that no member answered. */
const unansweredIntervalMs = 500
/** Interval while members answer but none leads. Short, because calls are refused on the result of the last check. */
const leaderlessIntervalMs = 250
/** Unanswered checks in a row, about 2.5 s: more than the 2 s in which a group without a leader elects one. */
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

  /** False once several checks in a row got no answer at all. The answer of a member that knows no leader counts. */
  get canReachMembers(): boolean {
    return this.#misses < missesMax
  }

  /** Runs the checks until `signal` is aborted. Call it once. */
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
