/** The client that control calls upstreams with, unless another is given. */
import type { Clock } from '@nettlespur/core.clock'
import { readKeys, readPeerCa } from '@nettlespur/daemons.common'
import type { ControlSettings } from '@nettlespur/settings.schemas'
import { HttpUpstreamClient, type UpstreamClient } from '@nettlespur/upstream.client'

export type UpstreamClientFactory = (settings: ControlSettings, clock: Clock) => UpstreamClient

/** Errors: throws `invalid-settings` for its key file. */
export const createUpstreamClient: UpstreamClientFactory = (settings, clock) => {
  const [key] = readKeys(settings.keyFiles.upstreams)
  return new HttpUpstreamClient({ clock, key, ca: readPeerCa(settings) })
}
