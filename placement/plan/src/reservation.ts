/** Guaranteed shapes, and the reservations that map them to accelerators. */
import type { Contract, Shape } from '@nettlespur/api.schemas'
import type { Block } from '@nettlespur/placement.topology'

/** One guaranteed shape of one contract; a guarantee with a count of 3 yields three of them. */
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
  /** Guaranteed shapes for which no accelerators can be reserved at present. */
  readonly missing: readonly ReservedShape[]
}

export const emptyPlan: ReservationPlan = { reservations: [], missing: [] }

/** Ids are stable: a shape keeps its id when counts or other guarantees change. */
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

/** Formats shapes for messages, such as `2 x 8 (upstream) for demo`. */
export function describeShapes(shapes: readonly ReservedShape[]): string {
  const counts = new Map<string, number>()
  for (const { workspace, shape } of shapes) {
    const name = `${shape.accelerators} (${shape.adjacency}) for ${workspace}`
    counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  return [...counts].map(([name, count]) => `${count} x ${name}`).join(', ')
}
