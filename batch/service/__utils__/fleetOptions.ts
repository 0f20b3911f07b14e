/** What a fake fleet is made of, and what may go wrong with it. */
import type { RunRef } from '@nettlespur/batch.model'
import type { LinkFault } from './faultyPort.js'

export type FleetFault =
  | { kind: 'fault'; fault: LinkFault; calls: number }
  | { kind: 'cut'; upstream: number; forMs: number }
  | { kind: 'crash'; upstream: number }
  | { kind: 'new-leader'; zombieMs: number }
  | { kind: 'cancel'; job: number }

export interface FakeFleetOptions {
  clockRate: number
  lateMs: number
  failures: readonly number[]
  linksMs: readonly number[]
  /** Whether the run brings down the upstream that starts it. */
  crashes?: (run: RunRef) => boolean
  /** Upstreams refuse what does not fit; true if left out. */
  guardsCapacity?: boolean
}
