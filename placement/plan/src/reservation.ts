/** Guaranteed shapes and the accelerators they are mapped to. */
import type { Contract, Shape } from '@nettlespur/api.schemas'
import type { Block } from '@nettlespur/placement.topology'

/** One guaranteed shape of one contract; a guarantee of count 3 gives three. */
export interface ReservedShape {
  readonly reservationId: string
  readonly workspace: string
  readonly shape: Shape
}

export interface Reservation extends ReservedShape {
  readonly blocks: readonly Block[]
}

export interface ReservationPlan {
  readonly reservations: readonly Reservation[]
  /** Guaranteed shapes that no accelerators can be kept for now. */
  readonly missing: readonly ReservedShape[]
}

export const emptyPlan: ReservationPlan = { reservations: [], missing: [] }

/** Ids stay the same when counts or other guarantees change. */
export function listReservedShapes(contracts: readonly Contract[]): ReservedShape[] {
  return contracts.flatMap(listShapesOfContract)
}

function listShapesOfContract({ workspace, guarantees }: Contract): ReservedShape[] {
  const counts = new Map<string, number>()
  const shapes: ReservedShape[] = []
  for (const { accelerators, adjacency, count } of guarantees) {
    const name = `${workspace}/${accelerators}-${adjacency}`
    const first = counts.get(name) ?? 0
    counts.set(name, first + count)
    for (let number = first + 1; number <= first + count; number += 1) {
      const shape = { accelerators, adjacency }
      shapes.push({ reservationId: `${name}/${number}`, workspace, shape })
    }
  }
  return shapes
}

/** Such as `2 x 8 (upstream) for demo`. */
export function describeShapes(shapes: readonly ReservedShape[]): string {
  const counts = new Map<string, number>()
  for (const { workspace, shape } of shapes) {
    const name = `${shape.accelerators} (${shape.adjacency}) for ${workspace}`
    counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  return [...counts].map(([name, count]) => `${count} x ${name}`).join(', ')
}
