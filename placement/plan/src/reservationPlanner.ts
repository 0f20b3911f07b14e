/**
 * Maps every guaranteed shape to its own accelerators, each of which is free, used by the same workspace, or
 * used by a gang that can be stopped. A valid reservation stays where it is; an invalid one is mapped again,
 * and if that fails the whole plan is rebuilt.
 */
import type { Contract, Shape } from '@nettlespur/api.schemas'
import {
  fitGang,
  type Block,
  type ClusterMap,
  type RunningGang,
} from '@nettlespur/placement.topology'
import { canReserveShare, measureSpareResources } from './measureSpareResources.js'
import {
  listReservedShapes,
  type Reservation,
  type ReservationPlan,
  type ReservedShape,
} from './reservation.js'
import { isSameShape } from './isSameShape.js'
import { ReservationChooser } from './reservationChooser.js'

/** Number of orders of the shapes that a rebuild tries. */
const rebuildAttemptsMax = 8

export class ReservationPlanner {
  #byId = new Map<string, Reservation>()
  #missing: ReservedShape[] = []

  get plan(): ReservationPlan {
    return { reservations: [...this.#byId.values()], missing: this.#missing }
  }

  /** Updates the plan for this map and these contracts, and marks the reservations in the map. */
  update(map: ClusterMap, contracts: readonly Contract[]): ReservationPlan {
    const shapes = listReservedShapes(contracts)
    const broken = this.#keepValidReservations(map, shapes)
    this.#missing = this.#mapShapes(map, broken)
    if (this.#missing.length > 0) this.#rebuildPlan(map, shapes)
    this.#moveUnusedToOwnGangs(map)
    return this.plan
  }

  /**
   * Moves other workspaces' reservations off the accelerators of this unstoppable gang. Returns false, with
   * the plan unchanged, if one fits nowhere else or the gang would lack processors or memory.
   */
  tryVacate(map: ClusterMap, gang: RunningGang): boolean {
    const overlapping = this.#listOverlapping(map, gang)
    for (const reservation of overlapping) this.#removeReservation(map, reservation)
    map.visit(gang.blocks, (upstream, index) => (upstream.promisedTo[index] = gang.jobId))
    const failed = this.#mapShapes(map, overlapping)
    const hasMoved = failed.length === 0 && hasSpareFor(map, gang)
    map.visit(gang.blocks, (upstream, index) => (upstream.promisedTo[index] = undefined))
    if (hasMoved) return true
    for (const { reservationId } of overlapping) this.#removeReservationById(map, reservationId)
    for (const reservation of overlapping) this.#addReservation(map, reservation)
    return false
  }

  /** Moves an unused reservation of the same workspace and shape to the gang's accelerators, if it can. */
  tryMoveToGang(map: ClusterMap, gang: RunningGang): boolean {
    if (!isUnreserved(map, gang.blocks)) return false
    const unused = [...this.#byId.values()].find(
      (reservation) => isSameOwnerAndShape(reservation, gang) && !isUsedByOwner(map, reservation),
    )
    if (unused === undefined) return false
    this.#removeReservation(map, unused)
    const moved = { ...unused, blocks: gang.blocks }
    const canMove = canReserve(map, moved)
    this.#addReservation(map, canMove ? moved : unused)
    return canMove
  }

  hasUnusedReservation(map: ClusterMap, workspace: string, shape: Shape): boolean {
    for (const reservation of this.#byId.values()) {
      if (reservation.workspace !== workspace || !isSameShape(reservation.shape, shape)) continue
      if (!isUsedByOwner(map, reservation)) return true
    }
    return false
  }

  /** Keeps the reservations that are still valid, and returns the shapes that have none. */
  #keepValidReservations(map: ClusterMap, shapes: readonly ReservedShape[]): ReservedShape[] {
    const former = this.#byId
    this.#byId = new Map()
    const broken: ReservedShape[] = []
    for (const shape of shapes) {
      const reservation = former.get(shape.reservationId)
      if (reservation !== undefined && canReserve(map, reservation))
        this.#addReservation(map, reservation)
      else broken.push(shape)
    }
    return broken
  }

  /** Maps the shapes, the largest first, and returns those that do not fit. */
  #mapShapes(map: ClusterMap, shapes: readonly ReservedShape[]): ReservedShape[] {
    return sortLargestFirst(shapes).filter((shape) => !this.#tryMap(map, shape))
  }

  #tryMap(map: ClusterMap, { reservationId, workspace, shape }: ReservedShape): boolean {
    const demand = { gang: shape, cpuCores: 0, memoryBytes: 0 }
    const blocks = fitGang(map, demand, new ReservationChooser(map, workspace))
    if (blocks === undefined) return false
    this.#addReservation(map, { reservationId, workspace, shape, blocks })
    return true
  }

  /** Keeps the attempt that misses the fewest accelerators; each puts first what the last one missed. */
  #rebuildPlan(map: ClusterMap, shapes: readonly ReservedShape[]): void {
    let best = { byId: this.#byId, missing: this.#missing }
    let order = sortLargestFirst(shapes)
    for (let attempt = 0; attempt < rebuildAttemptsMax; attempt += 1) {
      this.#removeAllReservations(map)
      const missing = order.filter((shape) => !this.#tryMap(map, shape))
      if (countAccelerators(missing) < countAccelerators(best.missing)) {
        best = { byId: this.#byId, missing }
      }
      if (missing.length === 0) break
      const placed = order.filter((shape) => !missing.includes(shape))
      order = [...missing, ...placed]
    }
    this.#removeAllReservations(map)
    for (const reservation of best.byId.values()) this.#addReservation(map, reservation)
    this.#missing = best.missing
  }

  #moveUnusedToOwnGangs(map: ClusterMap): void {
    const unused = [...this.#byId.values()].filter((one) => !isUsedByOwner(map, one))
    if (unused.length === 0) return
    const workspaces = new Set(unused.map((reservation) => reservation.workspace))
    for (const gang of listGangs(map)) {
      if (workspaces.has(gang.workspace) && !gang.isStopping) this.tryMoveToGang(map, gang)
    }
  }

  #listOverlapping(map: ClusterMap, gang: RunningGang): Reservation[] {
    const workspaces = new Set<string>()
    const names = new Set<string>()
    map.visit(gang.blocks, (upstream, index) => {
      const workspace = upstream.reservedFor[index]
      if (workspace === undefined || workspace === gang.workspace) return
      workspaces.add(workspace)
      names.add(nameAccelerator(upstream.upstreamId, index))
    })
    if (names.size === 0) return []
    return [...this.#byId.values()].filter(
      ({ workspace, blocks }) =>
        workspaces.has(workspace) && listAcceleratorNames(blocks).some((name) => names.has(name)),
    )
  }

  #addReservation(map: ClusterMap, reservation: Reservation): void {
    this.#byId.set(reservation.reservationId, reservation)
    map.visit(reservation.blocks, (upstream, index) => {
      upstream.reservedFor[index] = reservation.workspace
    })
  }

  #removeReservation(map: ClusterMap, reservation: Reservation): void {
    this.#byId.delete(reservation.reservationId)
    map.visit(reservation.blocks, (upstream, index) => (upstream.reservedFor[index] = undefined))
  }

  #removeReservationById(map: ClusterMap, reservationId: string): void {
    const present = this.#byId.get(reservationId)
    if (present !== undefined) this.#removeReservation(map, present)
  }

  #removeAllReservations(map: ClusterMap): void {
    for (const upstream of map.upstreams) upstream.reservedFor.fill(undefined)
    this.#byId = new Map()
  }
}

function sortLargestFirst(shapes: readonly ReservedShape[]): ReservedShape[] {
  return [...shapes].sort((left, right) => {
    const byAdjacency =
      Number(left.shape.adjacency === 'none') - Number(right.shape.adjacency === 'none')
    return byAdjacency || right.shape.accelerators - left.shape.accelerators
  })
}

function countAccelerators(shapes: readonly ReservedShape[]): number {
  return shapes.reduce((sum, { shape }) => sum + shape.accelerators, 0)
}

/** Whether all accelerators of the reservation exist and are usable, with enough processors and memory. */
function canReserve(map: ClusterMap, { workspace, blocks }: Reservation): boolean {
  const chooser = new ReservationChooser(map, workspace)
  return blocks.every(({ upstreamId, acceleratorIndexes }) => {
    const upstream = map.find(upstreamId)
    if (upstream === undefined) return false
    const usable = acceleratorIndexes.every(
      (index) => index < upstream.size && chooser.isUsable(upstream, index),
    )
    return usable && canReserveShare(upstream, workspace, acceleratorIndexes.length)
  })
}

function isSameOwnerAndShape({ workspace, shape }: Reservation, gang: RunningGang): boolean {
  return workspace === gang.workspace && isSameShape(shape, gang.gang)
}

/** Whether a gang of the workspace holds one of the accelerators, or one is promised to a waiting job. */
function isUsedByOwner(map: ClusterMap, { workspace, blocks }: Reservation): boolean {
  let isUsed = false
  map.visit(blocks, (upstream, index) => {
    const isClaimed = upstream.promisedTo[index] !== undefined
    isUsed ||= isClaimed || upstream.holders[index]?.workspace === workspace
  })
  return isUsed
}

function isUnreserved(map: ClusterMap, blocks: readonly Block[]): boolean {
  let isOpen = true
  map.visit(blocks, (upstream, index) => (isOpen &&= upstream.reservedFor[index] === undefined))
  return isOpen
}

function hasSpareFor(map: ClusterMap, gang: RunningGang): boolean {
  return gang.blocks.every(({ upstreamId, acceleratorIndexes }) => {
    const upstream = map.find(upstreamId)
    if (upstream === undefined) return false
    const spare = measureSpareResources(upstream, gang.workspace)
    const share = acceleratorIndexes.length / gang.gang.accelerators
    return gang.cpuCores * share <= spare.cpuCores && gang.memoryBytes * share <= spare.memoryBytes
  })
}

function listGangs(map: ClusterMap): Set<RunningGang> {
  const gangs = new Set<RunningGang>()
  for (const upstream of map.upstreams) {
    for (const holder of upstream.holders) if (holder !== undefined) gangs.add(holder)
  }
  return gangs
}

function listAcceleratorNames(blocks: readonly Block[]): string[] {
  return blocks.flatMap(({ upstreamId, acceleratorIndexes }) =>
    acceleratorIndexes.map((index) => nameAccelerator(upstreamId, index)),
  )
}

function nameAccelerator(upstreamId: string, index: number): string {
  return `${upstreamId}/${index}`
}
