/** Values of the API that the tests' cluster answers with. */

export const contract = {
  workspace: 'demo',
  weight: 1,
  keys: [],
  guarantees: [{ accelerators: 4, adjacency: 'upstream', count: 1 }],
  limits: {
    requestsPerSecond: 100,
    requestBurst: 100,
    concurrentRequests: 16,
    queuedRequests: 64,
    queuedJobs: 64,
    concurrentAccelerators: 16,
    largestGangAccelerators: 16,
    retriesPerSecond: 1,
  },
}

export const contractView = {
  contract,
  revision: 3,
  changeIndex: 17,
  inForceAt: ['entry-1'],
  notYetInForceAt: ['entry-2'],
}

export const job = {
  jobId: 'job-1',
  workspace: 'demo',
  state: 'running',
  reason: 'all tasks have started',
  gang: { accelerators: 4, adjacency: 'rack' },
  attempts: 1,
  submittedAt: '2026-03-01T10:00:00.000Z',
  placement: {
    fence: 9,
    attempt: 1,
    members: [
      { taskId: 'task-1', upstreamId: 'up-1', address: '127.0.0.1:1', acceleratorIndexes: [0, 1] },
    ],
  },
}

export const jobAnswer = {
  jobId: 'job-1',
  attempt: 1,
  parts: [{ taskId: 'task-1', upstreamId: 'up-1', body: 'span 17 is clear' }],
}

export const upstream = {
  upstreamId: 'up-1',
  address: '127.0.0.1:7801',
  dataCentre: 'dc-1',
  rack: 'rack-1',
  slots: 8,
  cpuCores: 32,
  memoryBytes: 1000,
  accelerators: 8,
  state: 'ready',
}

export const member = {
  memberId: 'control-1',
  peerAddress: '127.0.0.1:7600',
  dataCentre: 'dc-1',
  role: 'leader',
  lagEntries: 0,
  silentMs: 0,
}

export const status = {
  leaderId: 'control-1',
  term: 4,
  commitIndex: 31,
  members: [member],
  entries: [{ entryId: 'entry-1', contractIndex: 17 }],
  upstreams: [upstream],
  jobs: { queued: 2 },
}

export const report = {
  cluster: {
    completion: { count: 5, meanMs: 1200.4, p50Ms: 1000, p99Ms: 2000 },
    freeAccelerators: 6,
    totalAccelerators: 8,
  },
  workspaces: [
    { workspace: 'demo', completion: { count: 5, meanMs: 1200.4, p50Ms: 1000, p99Ms: 2000 } },
  ],
  fragmentation: [{ accelerators: 8, adjacency: 'upstream', unusableShare: 0.75 }],
}
