/** Whole values of the common types, to be varied by a test. */
import type { Announcement, Contract, UpstreamView } from '@nettlespur/api.schemas'

export function createContract(change: Partial<Contract> = {}): Contract {
  return {
    workspace: 'thapa',
    weight: 1,
    keys: [],
    guarantees: [],
    limits: {
      requestsPerSecond: 1000,
      requestBurst: 1000,
      concurrentRequests: 64,
      queuedRequests: 64,
      queuedJobs: 10,
      concurrentAccelerators: 8,
      largestGangAccelerators: 8,
      retriesPerSecond: 100,
    },
    ...change,
  }
}

export function createUpstream(change: Partial<UpstreamView> = {}): UpstreamView {
  return {
    upstreamId: 'u1',
    address: '127.0.0.1:1',
    dataCentre: 'dc1',
    rack: 'r1',
    slots: 8,
    cpuCores: 32,
    memoryBytes: 1_000_000,
    accelerators: 8,
    state: 'ready',
    ...change,
  }
}

export function createAnnouncement(change: Partial<Announcement> = {}): Announcement {
  return {
    address: '127.0.0.1:1',
    dataCentre: 'dc1',
    rack: 'r1',
    slots: 8,
    cpuCores: 32,
    memoryBytes: 1_000_000,
    accelerators: 8,
    state: 'ready',
    tasks: [],
    ...change,
  }
}
