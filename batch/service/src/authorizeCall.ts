/** Finds the queue that a call addresses and the workspace that its key belongs to. */
import {
  findQueue,
  findWorkspace,
  type ClusterConfig,
  type QueueConfig,
} from '@nettlespur/batch.model'
import { NettlespurError } from '@nettlespur/core.errors'
import type { QueueCall } from './batchApi.js'

export interface AuthorizedCall {
  readonly queue: QueueConfig
  /** Empty if the call has no known key and the queue is anonymous. */
  readonly workspace: string
}

/** `pathSuffix` is what must follow the queue's path prefix. Errors: returns `unknown-route` and `unauthorized`. */
export function authorizeCall(
  config: ClusterConfig,
  call: QueueCall,
  pathSuffix: string,
): AuthorizedCall | NettlespurError {
  const queue = findQueue(config, call)
  if (queue === undefined || call.path !== queue.pathPrefix + pathSuffix)
    return createUnknownRouteError(call)
  const workspace = findWorkspace(config, call.key)
  if (workspace === undefined && !queue.anonymous) {
    return new NettlespurError(
      'unauthorized',
      `queue ${queue.name} requires the key of a workspace`,
    )
  }
  return { queue, workspace: workspace?.name ?? '' }
}

export function createUnknownRouteError({ host, path }: QueueCall): NettlespurError {
  return new NettlespurError('unknown-route', `no queue at ${host}${path}`)
}
