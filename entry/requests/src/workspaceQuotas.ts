/** This entry's current share of a contract's cluster-wide limits. */
export interface WorkspaceQuota {
  readonly requestsPerSecond: number
  readonly requestBurst: number
  readonly concurrentRequests: number
  readonly queuedRequests: number
  readonly retriesPerSecond: number
}

export abstract class WorkspaceQuotas {
  /** Returns undefined if the workspace has no contract. */
  abstract quotaOf(workspace: string): WorkspaceQuota | undefined
}
