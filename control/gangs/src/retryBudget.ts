/**
 * Limits the rate of retries to prevent retry storms: each workspace retries at the rate of its contract, and
 * all workspaces together at the rate of the cluster. Soft state of the leader.
 */
import type { Clock } from '@nettlespur/core.clock'

const clusterRetriesPerSecond = 50
/** Retries worth this much time may run without delay. */
const burstMs = 1000

export class RetryBudget {
  readonly #clock: Clock
  readonly #spentThroughByWorkspace = new Map<string, number>()
  #clusterSpentThroughMs = 0

  constructor(clock: Clock) {
    this.#clock = clock
  }

  /** Takes one retry and returns its delay in milliseconds. */
  take(workspace: string, retriesPerSecond: number): number {
    const nowMs = this.#clock.monotonicMs()
    const workspaceSpentThroughMs = spendRetry(
      this.#spentThroughByWorkspace.get(workspace) ?? 0,
      nowMs,
      retriesPerSecond,
    )
    this.#spentThroughByWorkspace.set(workspace, workspaceSpentThroughMs)
    this.#clusterSpentThroughMs = spendRetry(
      this.#clusterSpentThroughMs,
      nowMs,
      clusterRetriesPerSecond,
    )
    return Math.max(
      0,
      workspaceSpentThroughMs - nowMs - burstMs,
      this.#clusterSpentThroughMs - nowMs - burstMs,
    )
  }
}

/** Returns the time up to which the budget is spent after one more retry. */
function spendRetry(spentThroughMs: number, nowMs: number, perSecond: number): number {
  const costMs = perSecond === 0 ? 0 : 1000 / perSecond
  return Math.max(spentThroughMs, nowMs) + costMs
}
