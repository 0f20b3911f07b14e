/** What a search for the leader needs. */
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'

export interface LeaderFinderOptions {
  clock: Clock
  logger: Logger
  peerKey: string
  /** Addresses of members that every search asks. */
  seeds: readonly string[]
  /** Timeout of one call to one member. */
  callTimeoutMs: number
  /** A number in [0, 1); Math.random by default. */
  random?: (() => number) | undefined
  /** Passed on to the RPC clients of the members. */
  compresses?: boolean | undefined
}
