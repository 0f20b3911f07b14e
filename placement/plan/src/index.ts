/** Keeps each guaranteed shape mapped to accelerators that can be reclaimed. */
export { checkPlan, type PlanFault, type PlannedCluster } from './checkPlan.js'
export { findInfeasible, type Infeasibility } from './findInfeasible.js'
export { isUnstoppable, measureSpare, type Spare } from './measureSpare.js'
export {
  describeShapes,
  emptyPlan,
  type Reservation,
  type ReservationPlan,
  type ReservedShape,
} from './reservation.js'
export { ReservationPlanner } from './reservationPlanner.js'
