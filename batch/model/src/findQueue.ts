/** Finds the queue and the workspace of a call. */
import type { ClusterConfig, QueueConfig, WorkspaceConfig } from './clusterConfig.js'

export interface CallTarget {
  readonly host: string
  readonly path: string
}

/** Returns the queue with the longest prefix of the path, or undefined if none matches. */
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

/** Returns the workspace that has the key, or undefined if none has it. */
export function findWorkspace(
  { workspaces }: ClusterConfig,
  key: string | undefined,
): WorkspaceConfig | undefined {
  if (key === undefined) return undefined
  return workspaces.find(({ keys }) => keys.includes(key))
}
