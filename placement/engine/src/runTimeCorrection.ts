/**
 * Corrects declared run times by a histogram, for each workspace, of the ratio of actual to declared run
 * time. The estimate is the declared time multiplied by a fixed quantile of these ratios. It is only used to
 * order jobs and to weigh preemptions; no job is ever ended because of it.
 */
import * as hdr from 'hdr-histogram-js'

/** Ratios are recorded as integers, in thousandths. */
const ratioScale = 1000
const scaledRatioMax = 1_000_000
const quantilePercent = 60
/** Declared run times are used uncorrected until this many jobs of a workspace were observed. */
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
