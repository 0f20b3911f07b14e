/** The example contract of the embedded default. */
import type { Contract } from '@nettlespur/api.schemas'

export const demoContract: Contract = {
  workspace: 'demo',
  weight: 1,
  keys: [],
  guarantees: [{ accelerators: 4, adjacency: 'upstream', count: 1 }],
  limits: {
    requestsPerSecond: 200,
    requestBurst: 50,
    concurrentRequests: 16,
    queuedRequests: 100,
    queuedJobs: 100,
    concurrentAccelerators: 32,
    largestGangAccelerators: 32,
    retriesPerSecond: 10,
  },
}
