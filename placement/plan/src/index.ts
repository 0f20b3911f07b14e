/** Maps each guaranteed shape to accelerators that its workspace can reclaim at any time. */
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
