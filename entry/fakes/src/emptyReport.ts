/** The report of a cluster in which nothing has run yet. */
import type { ClusterReport } from '@nettlespur/control.api'

export const emptyReport: ClusterReport = {
  cluster: {
    completion: { count: 0, meanMs: 0, p50Ms: 0, p99Ms: 0 },
    freeAccelerators: 0,
    totalAccelerators: 0,
  },
  workspaces: [],
  fragmentation: [],
}
