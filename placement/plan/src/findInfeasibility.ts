/** Checks whether the guarantees of a changed contract fit beside all others, and finds what would fit. */
import type { Contract } from '@nettlespur/api.schemas'
import { ClusterMap } from '@nettlespur/placement.topology'
import type { PlannedCluster } from './checkPlan.js'
import { isSameShape } from './isSameShape.js'
import { describeShapes, type ReservedShape } from './reservation.js'
import { ReservationPlanner } from './reservationPlanner.js'

export interface Infeasibility {
  readonly missing: readonly ReservedShape[]
  /** Which shapes do not fit, as shown to the user. */
  readonly message: string
  /** What would fit instead, as shown to the user. */
  readonly wouldFit: string
}

/** Returns undefined if the change leaves no more guaranteed shapes unmapped than there are now. */
export function findInfeasibility(
  cluster: PlannedCluster,
  changed: Contract,
): Infeasibility | undefined {
  if (changed.guarantees.length === 0) return undefined
  const others = cluster.contracts.filter(({ workspace }) => workspace !== changed.workspace)
  const missing = listMissing(cluster, [...others, changed])
  if (missing.length === 0) return undefined
  const missingNow = listMissing(cluster, cluster.contracts)
  if (missing.length <= missingNow.length) return undefined
  const own = missing.filter(({ workspace }) => workspace === changed.workspace)
  const message = `no accelerators can be kept for ${describeShapes(missing)}`
  return { missing, message, wouldFit: describeWouldFit(cluster, others, changed, own) }
}

function listMissing(
  { upstreams, running }: PlannedCluster,
  contracts: readonly Contract[],
): readonly ReservedShape[] {
  return new ReservationPlanner().update(new ClusterMap(upstreams, running), contracts).missing
}

/**
 * Describes, for each guarantee that does not fit, the highest count that would; if not even one shape fits,
 * the largest smaller shape that would fit once.
 */
function describeWouldFit(
  cluster: PlannedCluster,
  others: readonly Contract[],
  changed: Contract,
  missing: readonly ReservedShape[],
): string {
  const fits = (guarantees: Contract['guarantees']): boolean =>
    listMissing(cluster, [...others, { ...changed, guarantees }]).length === 0
  const parts = changed.guarantees
    .filter((guarantee) => missing.some(({ shape }) => isSameShape(shape, guarantee)))
    .map((guarantee) => {
      const rest = changed.guarantees.filter((other) => other !== guarantee)
      const kept = rest.filter((other) => !missing.some(({ shape }) => isSameShape(shape, other)))
      const { accelerators, adjacency } = guarantee
      const count = findLargest(guarantee.count, (n) => fits([...kept, { ...guarantee, count: n }]))
      if (count > 0) return `${count} x ${accelerators} (${adjacency})`
      const size = findLargest(accelerators, (n) =>
        fits([...kept, { ...guarantee, accelerators: n, count: 1 }]),
      )
      return size > 0 ? `1 x ${size} (${adjacency})` : `none with adjacency ${adjacency}`
    })
  return parts.length === 0 ? 'the contract as it was' : parts.join(', ')
}

/**
 * Finds by bisection the largest value from 1 to `most` that fits; 0 if none does. Expects that every
 * value below one that fits does fit too.
 */
function findLargest(most: number, fits: (value: number) => boolean): number {
  let low = 0
  let high = most
  while (low < high) {
    const middle = Math.ceil((low + high) / 2)
    if (fits(middle)) low = middle
    else high = middle - 1
  }
  return low
}
