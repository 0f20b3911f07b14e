/** Dependencies and timings of a control node. */
import type { GangTimings } from '@nettlespur/control.gangs'
import type { ReplicatedLog } from '@nettlespur/control.log'
import type { StateHolder } from '@nettlespur/control.state'
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import type { PlacementPolicy } from '@nettlespur/placement.engine'
import type { UpstreamClient } from '@nettlespur/upstream.client'

export const defaultClaimLifetimeMs = 600_000

export interface NodeTimings extends GangTimings {
  /** How long an entry may enforce its contracts without hearing from control. */
  readonly contractLeaseMs: number
  /** How long a claim is kept once its outcome is known; `defaultClaimLifetimeMs` if absent. */
  readonly claimLifetimeMs?: number
  readonly upstreamSuspectMs: number
  readonly upstreamGoneMs: number
}

export interface ControlNodeOptions {
  instanceId: string
  clock: Clock
  logger: Logger
  metrics: MetricsRegistry
  log: ReplicatedLog
  /** The replicated state to which `log` applies commands. */
  holder: StateHolder
  policy: PlacementPolicy
  client: UpstreamClient
  timings: NodeTimings
  /** Returns a number between 0 and 1, for jitter; Math.random by default. */
  random?: () => number
}
