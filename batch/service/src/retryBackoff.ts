/**
 * How long a task waits before its next start where its starts came to nothing. Each such end draws on no budget, so without
 * pauses a task that every upstream refuses would be placed and refused as fast as commits go. One leader keeps them:
 * the next one begins anew, and soon pauses as long.
 */
import { taskKey, type TaskRef } from '@nettlespur/batch.model'
import type { RunEnd } from '@nettlespur/batch.state'

/** Upstreams come and go: the first start elsewhere is not held back. */
const immediateRetries = 1
const initialBackoffMs = 100
/** Below the time after which callers count a job with room as held up. */
const maxBackoffMs = 2000
const retentionMs = 30_000

interface FailedStarts {
  readonly count: number
  readonly untilMs: number
}

export class RetryBackoff {
  readonly #byTask = new Map<string, FailedStarts>()

  /** `nowMs` and the end of the pause are on the same clock. */
  noteEnd(end: RunEnd, nowMs: number): void {
    const key = taskKey(end)
    if (end.outcome !== 'lost' && end.outcome !== 'crashed') {
      this.#byTask.delete(key)
      return
    }
    this.#prune(nowMs)
    const count = (this.#byTask.get(key)?.count ?? 0) + 1
    const delayedRetries = count - immediateRetries
    const backoffMs =
      delayedRetries <= 0 ? 0 : Math.min(maxBackoffMs, initialBackoffMs * 2 ** (delayedRetries - 1))
    this.#byTask.set(key, { count, untilMs: nowMs + backoffMs })
  }

  isPaused(task: TaskRef, nowMs: number): boolean {
    if (this.#byTask.size === 0) return false
    return nowMs < (this.#byTask.get(taskKey(task))?.untilMs ?? -Infinity)
  }

  /** Forgets tasks whose last fruitless start is long ago: they are at work, or their jobs have ended. */
  #prune(nowMs: number): void {
    for (const [key, { untilMs }] of this.#byTask) {
      if (nowMs - untilMs > retentionMs) this.#byTask.delete(key)
    }
  }
}
