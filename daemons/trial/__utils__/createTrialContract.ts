/** A contract for tests, whose only caller's key is given. */
import type { Contract } from '@nettlespur/api.schemas'
import { hashKey } from '@nettlespur/net.keys'

export function createTrialContract(workspace: string, key: string): Contract {
  return {
    workspace,
    weight: 1,
    keys: [{ id: 'caller', sha256: hashKey(key) }],
    guarantees: [{ accelerators: 4, adjacency: 'upstream', count: 1 }],
    limits: {
      requestsPerSecond: 1000,
      requestBurst: 1000,
      concurrentRequests: 16,
      queuedRequests: 100,
      queuedJobs: 100,
      concurrentAccelerators: 16,
      largestGangAccelerators: 8,
      retriesPerSecond: 100,
    },
  }
}
