/** Small configurations, jobs and upstreams for tests. */
import type {
  ClusterConfig,
  JobRequest,
  StepSpec,
  UpstreamDescription,
} from '@nettlespur/batch.model'

export function createConfig(version: number, source = `v${version}`): ClusterConfig {
  return {
    version,
    source,
    pools: [{ name: 'pool', connectionsMax: 64, guardsCapacity: true }],
    workspaces: [{ name: 'w1', keys: ['k1'], guaranteedAccelerators: 16 }],
    queues: [0, 1].map((priority) => ({
      name: `queue${priority}`,
      host: 'host',
      pathPrefix: `/queue${priority}/`,
      pool: 'pool',
      priority,
      attemptsMax: 2,
      stretch: 2,
      targetLatencyMs: 1000,
      anonymous: false,
    })),
  }
}

export function createStep(step: Partial<StepSpec> = {}): StepSpec {
  return {
    taskCount: 1,
    needs: { cpuMillicores: 1000, memoryMiB: 1000, accelerators: 1 },
    expectedRunTimeMs: 1000,
    dependsOn: [],
    isGang: false,
    prefersOneRack: false,
    checkpoints: false,
    ...step,
  }
}

export function createJob(jobId: string, ...steps: Partial<StepSpec>[]): JobRequest {
  return { jobId, payload: 'text', steps: steps.map((step) => createStep(step)) }
}

export const sampleAccelerators = 8

/** Creates an upstream with `sampleAccelerators` accelerators in the given rack. */
export function createUpstream(upstreamId: string, rack = 'r1'): UpstreamDescription {
  return {
    upstreamId,
    pool: 'pool',
    address: '127.0.0.1:9000',
    dataCentre: 'centre',
    rack,
    labels: ['a', rack],
    capacity: { cpuMillicores: 32_000, memoryMiB: 131_072, accelerators: sampleAccelerators },
  }
}
