/**
 * How long a task waits before its next start where its starts came to nothing. Each such end draws on no budget, so without
 * pauses a task that every upstream refuses would be placed and refused as fast as commits go. One leader keeps them:
 * the next one begins anew, and soon pauses as long.
 */
import { taskKey, type TaskRef } from '@nettlespur/batch.model'
import type { RunEnd } from '@nettlespur/batch.state'

/** Upstreams come and go: the first start elsewhere is not held back. */
const freeRetries = 1
const firstPauseMs = 100
/** Below the time after which callers count a job with room as held up. */
const longestPauseMs = 2000
const keptMs = 30_000

interface FruitlessStarts {
  readonly count: number
  readonly untilMs: number
}

export class RetryPauses {
  readonly #byTask = new Map<string, FruitlessStarts>()

  /** `nowMs` and the end of the pause are on the same clock. */
  noteEnd(end: RunEnd, nowMs: number): void {
    const key = taskKey(end)
    if (end.outcome !== 'lost' && end.outcome !== 'crashed') {
      this.#byTask.delete(key)
      return
    }
    this.#prune(nowMs)
    const count = (this.#byTask.get(key)?.count ?? 0) + 1
    const pauses = count - freeRetries
    const pauseMs = pauses <= 0 ? 0 : Math.min(longestPauseMs, firstPauseMs * 2 ** (pauses - 1))
    this.#byTask.set(key, { count, untilMs: nowMs + pauseMs })
  }

  isPaused(task: TaskRef, nowMs: number): boolean {
    if (this.#byTask.size === 0) return false
    return nowMs < (this.#byTask.get(taskKey(task))?.untilMs ?? -Infinity)
  }

  /** Forgets tasks whose last fruitless start is long ago: they are at work, or their jobs have ended. */
  #prune(nowMs: number): void {
    for (const [key, { untilMs }] of this.#byTask) {
      if (nowMs - untilMs > keptMs) this.#byTask.delete(key)
    }
  }
}
