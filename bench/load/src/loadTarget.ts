/** Where a load run's calls go. */
import type { LoadOutcome } from './loadReport.js'

export abstract class LoadTarget {
  /** Sends the call of this number; never rejects. */
  abstract send(index: number): Promise<LoadOutcome>
}
