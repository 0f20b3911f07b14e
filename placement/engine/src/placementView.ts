/** What a placement decision is taken from: nothing else is looked at. */
import type { Shape, Urgency, UpstreamView } from '@nettlespur/api.schemas'

/** Accelerators of one upstream. */
export interface Block {
  readonly upstreamId: string
  readonly acceleratorIndexes: readonly number[]
}

/** A block that a placed gang holds, with its share of processors and memory. */
export interface HeldBlock extends Block {
  readonly workspace: string
  readonly cpuCores: number
  readonly memoryBytes: number
}

/** What a gang asks for; processors and memory are totals over the gang. */
export interface Demand {
  readonly gang: Shape
  readonly cpuCores: number
  readonly memoryBytes: number
}

export interface WaitingJob extends Demand {
  readonly jobId: string
  readonly workspace: string
  readonly urgency: Urgency
  /** Set where the job may not be placed yet, in plain words. */
  readonly heldBack?: string | undefined
}

export interface PlacementView {
  readonly upstreams: readonly UpstreamView[]
  readonly held: readonly HeldBlock[]
  /** In order of submission. */
  readonly waiting: readonly WaitingJob[]
  /** Accelerators a workspace may hold at once; absent means none. */
  readonly acceleratorLimits: ReadonlyMap<string, number>
}
