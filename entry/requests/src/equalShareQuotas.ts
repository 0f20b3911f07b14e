/**
 * Splits each limit equally between the live entries, the remainder going to the first of them by id, so
 * that the shares never sum to more than the contract. Only the burst is at least 1 at each entry.
 */
import type { ClusterView } from '@nettlespur/entry.view'
import { WorkspaceQuotas, type WorkspaceQuota } from './workspaceQuotas.js'

export interface EqualShareQuotasOptions {
  view: ClusterView
  entryId: string
}

export class EqualShareQuotas extends WorkspaceQuotas {
  readonly #view: ClusterView
  readonly #entryId: string

  constructor(opts: EqualShareQuotasOptions) {
    super()
    this.#view = opts.view
    this.#entryId = opts.entryId
  }

  override quotaOf(workspace: string): WorkspaceQuota | undefined {
    const limits = this.#view.contractOf(workspace)?.limits
    if (limits === undefined) return undefined
    const { count, rank } = this.#standing()
    return {
      requestsPerSecond: limits.requestsPerSecond / count,
      requestBurst: Math.max(1, splitWhole(limits.requestBurst, count, rank)),
      concurrentRequests: splitWhole(limits.concurrentRequests, count, rank),
      queuedRequests: splitWhole(limits.queuedRequests, count, rank),
      retriesPerSecond: limits.retriesPerSecond / count,
    }
  }

  /** How many entries live, and this one's place among them by id. */
  #standing(): { count: number; rank: number } {
    const ids = this.#view.entries.value.map((entry) => entry.entryId)
    const others = ids.filter((id) => id !== this.#entryId)
    return { count: others.length + 1, rank: others.filter((id) => id < this.#entryId).length }
  }
}

function splitWhole(total: number, count: number, rank: number): number {
  return Math.floor(total / count) + (rank < total % count ? 1 : 0)
}
