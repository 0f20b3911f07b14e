/** Whole values of the common types, to be varied by a test. */
import type { Announcement, Contract, JobRequest, UpstreamView } from '@nettlespur/api.schemas'

/** What an upstream and its announcement have in common. */
const upstreamFields = {
  address: '127.0.0.1:1',
  dataCentre: 'dc1',
  rack: 'r1',
  slots: 8,
  cpuCores: 32,
  memoryBytes: 1_000_000,
  accelerators: 8,
  state: 'ready',
} as const

/** A contract whose limits no small test reaches. */
export function createContract(
  change: Partial<Contract> = {},
  limits: Partial<Contract['limits']> = {},
): Contract {
  return {
    workspace: 'thapa',
    weight: 1,
    keys: [],
    guarantees: [],
    limits: {
      requestsPerSecond: 100,
      requestBurst: 100,
      concurrentRequests: 100,
      queuedRequests: 100,
      queuedJobs: 100,
      concurrentAccelerators: 1000,
      largestGangAccelerators: 1000,
      retriesPerSecond: 10,
      ...limits,
    },
    ...change,
  }
}

export function createJobRequest(change: Partial<JobRequest> = {}): JobRequest {
  return {
    workspace: 'demo',
    gang: { accelerators: 1, adjacency: 'upstream' },
    cpuCores: 1,
    memoryBytes: 1,
    expectedRunTimeMs: 1000,
    urgency: 'normal',
    repeatable: true,
    checkpointable: false,
    payload: '',
    ...change,
  }
}

export function createUpstreamView(change: Partial<UpstreamView> = {}): UpstreamView {
  return { upstreamId: 'u1', ...upstreamFields, ...change }
}

export function createAnnouncement(change: Partial<Announcement> = {}): Announcement {
  return { ...upstreamFields, tasks: [], ...change }
}
