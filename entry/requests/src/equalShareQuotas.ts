/**
 * Splits each limit of a contract equally between the live entries, so that the shares never sum to more
 * than the limit. The exception is the burst, which is at least 1 at each entry. The remainder of a division
 * goes to entries that rendezvous hashing selects per workspace, so that no entry gets the remainders of all
 * workspaces. If a limit is below the number of entries, some entries have no share: they refuse requests at
 * once and tell the caller that another entry has the share.
 */
import { createHash } from 'node:crypto'
import type { ClusterView } from '@nettlespur/entry.view'
import { WorkspaceQuotas, type WorkspaceQuota } from './workspaceQuotas.js'

export interface EqualShareQuotasOptions {
  view: ClusterView
  entryId: string
}

export class EqualShareQuotas extends WorkspaceQuotas {
  readonly #view: ClusterView
  readonly #entryId: string
  /** The entries for which `#standings` was computed. */
  #entries: readonly unknown[] = []
  readonly #standings = new Map<string, EntryRank>()

  constructor(opts: EqualShareQuotasOptions) {
    super()
    this.#view = opts.view
    this.#entryId = opts.entryId
  }

  override quotaOf(workspace: string): WorkspaceQuota | undefined {
    const limits = this.#view.getContract(workspace)?.limits
    if (limits === undefined) return undefined
    const { count, rank } = this.#standing(workspace)
    return {
      requestsPerSecond: limits.requestsPerSecond / count,
      requestBurst: Math.max(1, splitWhole(limits.requestBurst, count, rank)),
      concurrentRequests: splitWhole(limits.concurrentRequests, count, rank),
      queuedRequests: splitWhole(limits.queuedRequests, count, rank),
      retriesPerSecond: limits.retriesPerSecond / count,
    }
  }

  /** Returns the number of live entries and the rank of this one among them for the workspace. */
  #standing(workspace: string): EntryRank {
    const entries = this.#view.entries.value
    if (entries !== this.#entries) {
      this.#entries = entries
      this.#standings.clear()
    }
    const known = this.#standings.get(workspace)
    if (known !== undefined) return known
    const others = entries.map((entry) => entry.entryId).filter((id) => id !== this.#entryId)
    const own = hashPair(workspace, this.#entryId)
    const rank = others.filter((id) => hashPair(workspace, id) < own).length
    const standing = { count: others.length + 1, rank }
    this.#standings.set(workspace, standing)
    return standing
  }
}

interface EntryRank {
  readonly count: number
  readonly rank: number
}

function hashPair(workspace: string, entryId: string): string {
  return createHash('sha256').update(`${workspace} ${entryId}`).digest('hex')
}

function splitWhole(total: number, count: number, rank: number): number {
  return Math.floor(total / count) + (rank < total % count ? 1 : 0)
}
