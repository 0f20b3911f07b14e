/** The configuration of a fake fleet: one pool, one workspace, a queue for each priority. */
import type { ClusterConfig } from '@nettlespur/batch.model'

export const fleetAttemptsMax = 3

export function createFleetConfig(): ClusterConfig {
  return {
    version: 1,
    source: '{}',
    pools: [{ name: 'pool', connectionsMax: 8, guardsCapacity: true }],
    workspaces: [{ name: 'workspace', keys: [], guaranteedAccelerators: 16 }],
    queues: [0, 1, 2].map((priority) => ({
      name: `queue${priority}`,
      host: 'host',
      pathPrefix: `/queue${priority}/`,
      pool: 'pool',
      priority,
      attemptsMax: fleetAttemptsMax,
      stretch: 2,
      targetLatencyMs: 1000,
      anonymous: true,
    })),
  }
}
