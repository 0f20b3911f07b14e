/** Assigns tasks to upstreams in order of their free accelerators, then of their free processors. */
import type { Resources } from '@nettlespur/batch.model'

export interface UpstreamFit {
  readonly upstreamId: string
  readonly free: Resources
  /** Number of tasks that fit. */
  readonly count: number
}

/** Returns an upstream for each task that fits, the least free ones first. */
export function fillTightest(upstreams: readonly UpstreamFit[], wanted: number): string[] {
  return fillInOrder(sortTightest(upstreams), wanted)
}

/** Like `fillTightest`, but the most free upstreams first, where a crash affects the least work. */
export function fillEmptiest(upstreams: readonly UpstreamFit[], wanted: number): string[] {
  return fillInOrder(sortTightest(upstreams).reverse(), wanted)
}

function sortTightest(upstreams: readonly UpstreamFit[]): UpstreamFit[] {
  return upstreams
    .filter(({ count }) => count > 0)
    .sort(
      (left, right) =>
        left.free.accelerators - right.free.accelerators ||
        left.free.cpuMillicores - right.free.cpuMillicores,
    )
}

function fillInOrder(upstreams: readonly UpstreamFit[], wanted: number): string[] {
  const upstreamIds: string[] = []
  for (const { upstreamId, count } of upstreams) {
    const taken = Math.min(count, wanted - upstreamIds.length)
    for (let task = 0; task < taken; task++) upstreamIds.push(upstreamId)
  }
  return upstreamIds
}
