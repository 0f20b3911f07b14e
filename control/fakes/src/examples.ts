/** Examples of contracts, jobs and upstreams, with room for whatever a test does. */
import type { Contract, JobRequest, UpstreamView } from '@nettlespur/api.schemas'

export function createContract(
  workspace: string,
  limits: Partial<Contract['limits']> = {},
): Contract {
  return {
    workspace,
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
  }
}

export function createJobRequest(fields: Partial<JobRequest> = {}): JobRequest {
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
    ...fields,
  }
}

export function createUpstreamView(
  upstreamId: string,
  fields: Partial<UpstreamView> = {},
): UpstreamView {
  return {
    upstreamId,
    address: '127.0.0.1:1',
    dataCentre: 'dc1',
    rack: 'r1',
    slots: 8,
    cpuCores: 32,
    memoryBytes: 1_000_000,
    accelerators: 8,
    state: 'ready',
    ...fields,
  }
}
