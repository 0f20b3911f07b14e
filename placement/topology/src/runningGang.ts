/** A gang that holds accelerators: reserving, running, or being stopped. */
import type { Urgency } from '@nettlespur/api.schemas'
import type { Block } from './block.js'
import type { Demand, Stoppability } from './demand.js'

export interface RunningGang extends Demand {
  readonly jobId: string
  readonly workspace: string
  readonly urgency: Urgency
  readonly stoppability: Stoppability
  readonly blocks: readonly Block[]
  /** Its accelerators become free without a further decision. */
  readonly isStopping: boolean
  /** Undefined before its start. */
  readonly startedAtMs: number | undefined
  /** Of the newest checkpoint; undefined where there is none. */
  readonly checkpointedAtMs: number | undefined
  /** How long it is expected to run in all, after correction. */
  readonly expectedRunTimeMs: number
  /** How often the job was placed, this time included. */
  readonly attempts: number
}
