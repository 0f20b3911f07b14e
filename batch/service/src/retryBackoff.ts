/**
 * Backoff of tasks whose runs were lost, alone or with their upstreams. Such ends draw on no retry budget, so without a backoff a task that
 * every upstream refuses would be placed and refused as fast as commits allow. It is kept in the leader's memory: a new
 * leader starts without it and soon reaches the same delays.
 */
import { taskKey, type TaskRef } from '@nettlespur/batch.model'
import type { RunEnd } from '@nettlespur/batch.state'

/** Retries without a delay: upstreams come and go, so the first start elsewhere is not held back. */
const immediateRetries = 1
const initialBackoffMs = 100
/** Below the time after which callers take a job for delayed although resources are free. */
const maxBackoffMs = 2000
const retentionMs = 30_000

const delayingOutcomes: ReadonlySet<RunEnd['outcome']> = new Set(['lost', 'crashed', 'silent'])

interface FailedStarts {
  readonly count: number
  readonly untilMs: number
}

export class RetryBackoff {
  readonly #byTask = new Map<string, FailedStarts>()

  /** Starts or extends the backoff, on the clock of `nowMs`, if the run was lost in any way; any other end clears it. */
  noteEnd(end: RunEnd, nowMs: number): void {
    const key = taskKey(end)
    if (!delayingOutcomes.has(end.outcome)) {
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

  /** Forgets tasks whose last failed start is long ago: they are running, or their jobs have ended. */
  #prune(nowMs: number): void {
    for (const [key, { untilMs }] of this.#byTask) {
      if (nowMs - untilMs > retentionMs) this.#byTask.delete(key)
    }
  }
}
