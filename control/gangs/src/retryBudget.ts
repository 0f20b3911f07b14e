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
  readonly #workspaces = new Map<string, number>()
  #cluster = 0

  constructor(clock: Clock) {
    this.#clock = clock
  }

  /** Takes one retry and tells how long it must wait, in milliseconds. */
  take(workspace: string, retriesPerSecond: number): number {
    const nowMs = this.#clock.monotonicMs()
    const own = advance(this.#workspaces.get(workspace) ?? 0, nowMs, retriesPerSecond)
    this.#workspaces.set(workspace, own)
    this.#cluster = advance(this.#cluster, nowMs, clusterRetriesPerSecond)
    return Math.max(0, own - nowMs - burstMs, this.#cluster - nowMs - burstMs)
  }
}

/** The time through which the budget is spent, after one more retry. */
function advance(spentThroughMs: number, nowMs: number, perSecond: number): number {
  const costMs = perSecond === 0 ? 0 : 1000 / perSecond
  return Math.max(spentThroughMs, nowMs) + costMs
}
