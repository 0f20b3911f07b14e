/** Takes the first free accelerators there are: enough where it only matters whether a gang fits. */
import { FreeChooser } from './freeChooser.js'

export class AnyChooser extends FreeChooser {
  override rate(): number {
    return 0
  }

  override rateRack(): number {
    return 0
  }
}
