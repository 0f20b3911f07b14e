/** Keeps each guaranteed shape mapped to accelerators that can be reclaimed. */
export { checkPlan, type PlanFault, type PlannedCluster } from './checkPlan.js'
export { findInfeasibility, type Infeasibility } from './findInfeasibility.js'
export {
  isUnstoppable,
  measureSpareResources,
  type SpareResources,
} from './measureSpareResources.js'
export {
  describeShapes,
  emptyPlan,
  type Reservation,
  type ReservationPlan,
  type ReservedShape,
} from './reservation.js'
export { ReservationPlanner } from './reservationPlanner.js'
