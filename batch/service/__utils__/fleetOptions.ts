/** The options of a fake fleet, and the faults that tests inject into it. */
import type { RunRef } from '@nettlespur/batch.model'
import type { Logger } from '@nettlespur/core.logger'
import type { LinkFault } from './faultyPort.js'

export type FleetFault =
  | { kind: 'fault'; fault: LinkFault; calls: number }
  | { kind: 'cut'; upstream: number; forMs: number }
  | { kind: 'crash'; upstream: number }
  /** The former leader goes on working for `zombieMs`. */
  | { kind: 'new-leader'; zombieMs: number }
  | { kind: 'cancel'; job: number }

export interface FakeFleetOptions {
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
  /** Whether upstreams refuse starts that do not fit; true by default. */
  guardsCapacity?: boolean
  /** The leaders' logger; their lines are discarded by default. */
  logger?: Logger
}
