/** Which queue and workspace a call belongs to. */
import type { ClusterConfig, QueueConfig, WorkspaceConfig } from './clusterConfig.js'

export interface CallTarget {
  readonly host: string
  readonly path: string
}

/** The queue with the longest prefix that the path begins with; undefined where none fits. */
export function findQueue(
  { queues }: ClusterConfig,
  { host, path }: CallTarget,
): QueueConfig | undefined {
  let best: QueueConfig | undefined
  for (const queue of queues) {
    if (queue.host !== host || !path.startsWith(queue.pathPrefix)) continue
    if (best === undefined || queue.pathPrefix.length > best.pathPrefix.length) best = queue
  }
  return best
}

/** The workspace that holds the key; undefined where none does. */
export function findWorkspace(
  { workspaces }: ClusterConfig,
  key: string | undefined,
): WorkspaceConfig | undefined {
  if (key === undefined) return undefined
  return workspaces.find(({ keys }) => keys.includes(key))
}
