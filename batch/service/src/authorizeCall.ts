/** Whether a caller's call leads to a queue, and for which workspace it is. */
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
  /** Empty for a call without a key on a queue that asks for none. */
  readonly workspace: string
}

/** `rest` is what must follow the queue's prefix. Errors: gives `unknown-route` and `unauthorized`. */
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
    return new NettlespurError('unauthorized', `the key is not one of queue ${queue.name}`)
  }
  return { queue, workspace: workspace?.name ?? '' }
}

export function createUnknownRouteError({ host, path }: QueueCall): NettlespurError {
  return new NettlespurError('unknown-route', `no queue at ${host}${path}`)
}
