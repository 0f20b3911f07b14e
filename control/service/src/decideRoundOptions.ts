/** Input of one placement round. */
import type { ControlState } from '@nettlespur/control.state'
import type { PlacementPolicy, PlacementView } from '@nettlespur/placement.engine'

export interface DecideRoundOptions {
  policy: PlacementPolicy
  view: PlacementView
  state: ControlState
  now: Date
}
