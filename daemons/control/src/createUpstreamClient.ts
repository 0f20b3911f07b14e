/** The client that control calls upstreams with, unless another is given. */
import type { Clock } from '@nettlespur/core.clock'
import type { LifecycleManager } from '@nettlespur/core.lifecycle'
import { readKeys, readPeerCa } from '@nettlespur/daemons.common'
import type { ControlSettings } from '@nettlespur/settings.schemas'
import { HttpUpstreamClient, type UpstreamClient } from '@nettlespur/upstream.client'

/** `lifecycle` owns what the client opens. */
export type UpstreamClientFactory = (
  settings: ControlSettings,
  clock: Clock,
  lifecycle: LifecycleManager,
) => UpstreamClient

/** Errors: throws `invalid-settings` for its key file. */
export const createUpstreamClient: UpstreamClientFactory = (settings, clock, lifecycle) => {
  const [key] = readKeys(settings.keyFiles.upstreams)
  const client = new HttpUpstreamClient({ clock, key, ca: readPeerCa(settings) })
  lifecycle.own('connections to upstreams', () => {
    client.close()
  })
  return client
}
