/** Spreads tasks over rooms: first where the fewest accelerators are left, then where the fewest processors are. */
import type { Resources } from '@nettlespur/batch.model'

export interface UpstreamFit {
  readonly upstreamId: string
  readonly free: Resources
  /** Tasks that fit. */
  readonly count: number
}

/** As many upstreams as there are tasks, or as many as fit. */
export function fillTightest(upstreams: readonly UpstreamFit[], wanted: number): string[] {
  return fillInOrder(sortTightest(upstreams), wanted)
}

/** The same from the other end: where the least runs, so that a crash harms the least. */
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
