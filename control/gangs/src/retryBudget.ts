/**
 * Spreads retries out, so that they never become a storm: each workspace retries at the rate of its
 * contract, and the cluster at one rate for all. Soft state of the leader.
 */
import type { Clock } from '@nettlespur/core.clock'

const clusterRetriesPerSecond = 50
/** Retries of this much time may come at once. */
const burstMs = 1000

export class RetryBudget {
  readonly #clock: Clock
  readonly #spentThroughByWorkspace = new Map<string, number>()
  #clusterSpentThroughMs = 0

  constructor(clock: Clock) {
    this.#clock = clock
  }

  /** Takes one retry and tells how long it must wait, in milliseconds. */
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

/** The time through which the budget is spent, after one more retry. */
function spendRetry(spentThroughMs: number, nowMs: number, perSecond: number): number {
  const costMs = perSecond === 0 ? 0 : 1000 / perSecond
  return Math.max(spentThroughMs, nowMs) + costMs
}
