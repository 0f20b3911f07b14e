/** The client that control calls upstreams with, unless another is given. */
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import type { ControlSettings } from '@nettlespur/settings.schemas'
import type { UpstreamClient } from '@nettlespur/upstream.client'

export type UpstreamClientFactory = (settings: ControlSettings, clock: Clock) => UpstreamClient

/** Errors: throws `internal` until upstream.client offers an HTTP client. */
export const createUpstreamClient: UpstreamClientFactory = () => {
  throw new NettlespurError('internal', 'upstream.client offers no HTTP client yet')
}
