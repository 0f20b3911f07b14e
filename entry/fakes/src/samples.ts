/** Sample contracts with limits high enough that tests of entries reach only those that they set themselves. */
import { createContract as createSample } from '@nettlespur/api.samples'
import type { Contract } from '@nettlespur/api.schemas'

export { createAnnouncement, createUpstreamView as createUpstream } from '@nettlespur/api.samples'

export function createContract(change: Partial<Contract> = {}): Contract {
  return createSample(change, {
    requestsPerSecond: 1000,
    requestBurst: 1000,
    concurrentRequests: 64,
    queuedRequests: 64,
    queuedJobs: 10,
    concurrentAccelerators: 8,
    largestGangAccelerators: 8,
    retriesPerSecond: 100,
  })
}
