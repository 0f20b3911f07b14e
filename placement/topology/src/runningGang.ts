/** A gang that holds accelerators: its members are reserving, running or stopping. */
import type { Urgency } from '@nettlespur/api.schemas'
import type { Block } from './block.js'
import type { Demand, Stoppability } from './demand.js'

export interface RunningGang extends Demand {
  readonly jobId: string
  readonly workspace: string
  readonly urgency: Urgency
  readonly stoppability: Stoppability
  readonly blocks: readonly Block[]
  /** Whether it is being stopped: its accelerators become free without a further decision. */
  readonly isStopping: boolean
  /** Undefined until the gang has started. */
  readonly startedAtMs: number | undefined
  /** Time of the newest checkpoint; undefined if there is none. */
  readonly checkpointedAtMs: number | undefined
  /** Expected total run time, after correction of the declared one. */
  readonly expectedRunTimeMs: number
  /** Number of times the job was placed, including the current placement. */
  readonly attempts: number
}
