/** What part of a contract's cluster-wide limits this entry may use now. */
export interface WorkspaceQuota {
  readonly requestsPerSecond: number
  readonly requestBurst: number
  readonly concurrentRequests: number
  readonly queuedRequests: number
  readonly retriesPerSecond: number
}

export abstract class WorkspaceQuotas {
  /** Undefined where the workspace has no contract. */
  abstract quotaOf(workspace: string): WorkspaceQuota | undefined
}
