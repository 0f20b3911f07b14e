/** What a gang asks for, and whether it can be stopped once it runs. */
import type { JobRequest, Shape } from '@nettlespur/api.schemas'

/** Processors and memory are totals over the gang. */
export interface Demand {
  readonly gang: Shape
  readonly cpuCores: number
  readonly memoryBytes: number
}

/**
 * How a running job can be stopped in bounded time so that it still finishes: after a checkpoint, by
 * running it again from the start, or not at all.
 */
export type Stoppability = 'checkpoint' | 'repeat' | 'never'

export function readStoppability(
  request: Pick<JobRequest, 'checkpointable' | 'repeatable'>,
): Stoppability {
  if (request.checkpointable) return 'checkpoint'
  return request.repeatable ? 'repeat' : 'never'
}

/** The part of the processors and memory that falls to `count` accelerators of the gang. */
export function computeDemandShare(
  demand: Demand,
  count: number,
): { cpuCores: number; memoryBytes: number } {
  const share = count / demand.gang.accelerators
  return { cpuCores: demand.cpuCores * share, memoryBytes: demand.memoryBytes * share }
}
