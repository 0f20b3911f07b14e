/** Finds inconsistencies that make a configuration unusable although each of its fields is well formed. */
import type { ClusterConfig } from './clusterConfig.js'

/** Returns one line per fault; empty if the configuration may be put in force. */
export function listConfigFaults(config: ClusterConfig): string[] {
  const pools = new Set(config.pools.map(({ name }) => name))
  const withoutPool = config.queues
    .filter(({ pool }) => !pools.has(pool))
    .map(({ name, pool }) => `queue ${name}: no such pool: ${pool}`)
  const routes = config.queues.map(({ host, pathPrefix }) => `${host} ${pathPrefix}`)
  const keys = config.workspaces.flatMap((workspace) => [...new Set(workspace.keys)])
  return [
    ...withoutPool,
    ...listRepeated(routes).map((route) => `two queues have the same host and path: ${route}`),
    ...listRepeated(config.pools.map(({ name }) => name)).map((name) => `two pools named ${name}`),
    ...listRepeated(keys).map(() => 'two workspaces share a key'),
  ]
}

function listRepeated(values: readonly string[]): string[] {
  const seen = new Set<string>()
  return values.filter((value) => {
    if (seen.has(value)) return true
    seen.add(value)
    return false
  })
}
