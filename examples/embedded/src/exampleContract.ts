/** The contract of the example's only workspace. */
import type { Contract } from '@nettlespur/api.schemas'

export const exampleContract: Contract = {
  workspace: 'example',
  weight: 1,
  keys: [],
  guarantees: [{ accelerators: 4, adjacency: 'upstream', count: 1 }],
  limits: {
    requestsPerSecond: 10,
    requestBurst: 10,
    concurrentRequests: 4,
    queuedRequests: 10,
    queuedJobs: 10,
    concurrentAccelerators: 8,
    largestGangAccelerators: 8,
    retriesPerSecond: 1,
  },
}
