/**
 * Learns, for each workspace, how far its declared run times are off: a histogram of the ratio of what was
 * needed to what was declared. The corrected time is what a job needs at a set quantile. It only orders
 * jobs and weighs preemptions; nothing is ever ended because of it.
 */
import * as hdr from 'hdr-histogram-js'

/** Ratios are kept in thousandths. */
const ratioScale = 1000
const scaledRatioMax = 1_000_000
const quantilePercent = 60
/** With fewer jobs than this, declarations are taken as they are. */
const observationsMin = 10

export class RunTimeCorrection {
  readonly #ratios = new Map<string, hdr.Histogram>()

  observeRunTime(workspace: string, declaredMs: number, neededMs: number): void {
    const ratio = Math.round((neededMs / Math.max(1, declaredMs)) * ratioScale)
    this.#getOrCreateHistogram(workspace).recordValue(Math.min(Math.max(1, ratio), scaledRatioMax))
  }

  estimateRunTimeMs(workspace: string, declaredMs: number): number {
    const ratios = this.#ratios.get(workspace)
    if (ratios === undefined || ratios.totalCount < observationsMin) return declaredMs
    return (declaredMs * ratios.getValueAtPercentile(quantilePercent)) / ratioScale
  }

  #getOrCreateHistogram(workspace: string): hdr.Histogram {
    const present = this.#ratios.get(workspace)
    if (present !== undefined) return present
    const created = hdr.build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: scaledRatioMax,
      numberOfSignificantValueDigits: 2,
    })
    this.#ratios.set(workspace, created)
    return created
  }
}
