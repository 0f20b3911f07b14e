/** Chooses the first free accelerators that fit; used where it only matters whether a gang fits. */
import { FreeChooser } from './freeChooser.js'

export class FirstFitChooser extends FreeChooser {
  override computeCost(): number {
    return 0
  }

  override computeRackCost(): number {
    return 0
  }
}
