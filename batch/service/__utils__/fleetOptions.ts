/** The options of a fake fleet, and the faults that tests inject into it. */
import type { RunRef } from '@nettlespur/batch.model'
import type { Logger } from '@nettlespur/core.logger'
import type { ClaimBounds } from '@nettlespur/batch.scheduler'
import type { Command } from '@nettlespur/batch.state'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import type { UpstreamSpeedsMode } from '../src/index.js'
import type { EvacuationOrderPlan } from './evacuationOperator.js'
import type { CutOptions } from './fleetLinks.js'
import type { RelayFault } from './simulatedRelayLink.js'
import type { LinkFault } from './faultyPort.js'

export type FleetFault =
  | { kind: 'fault'; fault: LinkFault; calls: number }
  | ({ kind: 'cut'; upstream: number } & CutOptions)
  /** It restarts after `downMs`, at once by default. */
  | { kind: 'crash'; upstream: number; downMs?: number }
  /** An announcement that the upstream makes now arrives after `delayMs`. */
  | { kind: 'late-announcement'; upstream: number; delayMs: number }
  /** Another sender announces a process with the id and address of the upstream, born `bornOffsetMs` after it. */
  | { kind: 'foreign-announcement'; upstream: number; bornOffsetMs: number }
  /** The former leader goes on working for `zombieMs`. */
  | { kind: 'new-leader'; zombieMs: number }
  | { kind: 'cancel'; job: number }
  /** One of the relays, if there are any, fails for `forMs`. */
  | { kind: 'relay'; relay: number; fault: RelayFault; forMs: number }
  | ({ kind: 'evacuate' } & EvacuationOrderPlan)

export interface FakeFleetOptions {
  /** The exported `upstreamCount` by default. */
  upstreamCount?: number
  /** Numbers of the upstreams that stay down once a run or a fault has crashed them; none by default. */
  neverRestarted?: readonly number[]
  /** Rate of the upstreams' clocks relative to the leader's. */
  clockRate: number
  /** The delay after which a late order is carried out. */
  lateMs: number
  /** Of the first 29 runs, those whose number ends in one of these digits fail. */
  failures: readonly number[]
  /** Link delays in one direction, taken in turn. */
  linksMs: readonly number[]
  /** Whether the run crashes the upstream that starts it. */
  crashes?: (run: RunRef) => boolean
  /** From the crash of an upstream by a run until its next process answers; 3000 by default. */
  downMs?: number
  /** Whether upstreams refuse starts that do not fit; true by default. */
  guardsCapacity?: boolean
  /**
   * If set, a restarted upstream has the id that it had, and states when it started: returns that time of the n-th
   * process, by a wall clock that may step. Otherwise a restarted upstream has another id, and does not state it.
   */
  bornMs?: (processNumber: number) => number
  /** Whether upstreams say when they were born, if they have a time of birth; true by default. */
  statesBirth?: boolean
  /** See `FakeUpstream`. */
  remembersCursor?: boolean
  /** How fast the upstreams work, by their numbers; they report progress only if it is set. */
  speeds?: readonly number[]
  /** Whether the leaders learn the speeds; not by default. */
  upstreamSpeeds?: UpstreamSpeedsMode
  /** Bounds on the start of guaranteed work and on stops; none by default. */
  claimBounds?: ClaimBounds
  /** Whether a proposal of the leader fails; none does by default. */
  failsProposal?: (command: Command) => boolean
  /** The leaders' metrics; discarded by default. */
  metrics?: MetricsRegistry
  /** Number of upstreams from which the leaders use relays; never by default. */
  relayFromUpstreams?: number
  /** The leaders' logger; their lines are discarded by default. */
  logger?: Logger
}
