/** The resources that a gang requests, and whether it can be stopped once it runs. */
import type { JobRequest, Shape } from '@nettlespur/api.schemas'

/** `cpuCores` and `memoryBytes` are totals over all members of the gang. */
export interface Demand {
  readonly gang: Shape
  readonly cpuCores: number
  readonly memoryBytes: number
}

/**
 * Whether a running job can be preempted within a bounded time and still finish later: `checkpoint` jobs
 * resume from a checkpoint, `repeat` jobs run again from the start, `never` jobs cannot be preempted.
 */
export type Stoppability = 'checkpoint' | 'repeat' | 'never'

export function readStoppability(
  request: Pick<JobRequest, 'checkpointable' | 'repeatable'>,
): Stoppability {
  if (request.checkpointable) return 'checkpoint'
  return request.repeatable ? 'repeat' : 'never'
}

/** Computes the processors and memory of `count` members; all members have equal parts. */
export function computeDemandShare(
  demand: Demand,
  count: number,
): { cpuCores: number; memoryBytes: number } {
  const share = count / demand.gang.accelerators
  return { cpuCores: demand.cpuCores * share, memoryBytes: demand.memoryBytes * share }
}
