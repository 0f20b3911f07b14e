/**
 * Learns, for each workspace, how far its declared run times are off: a histogram of the ratio of what was
 * needed to what was declared. The corrected time is what a job needs at a set quantile. It only orders
 * jobs and weighs preemptions; nothing is ever ended because of it.
 */
import * as hdr from 'hdr-histogram-js'

/** Ratios are kept in thousandths. */
const ratioScale = 1000
const highestRatio = 1_000_000
const quantilePercent = 60
/** With fewer jobs than this, declarations are taken as they are. */
const jobsMin = 10

export class DeclarationCorrection {
  readonly #ratios = new Map<string, hdr.Histogram>()

  observeRunTime(workspace: string, declaredMs: number, neededMs: number): void {
    const ratio = Math.round((neededMs / Math.max(1, declaredMs)) * ratioScale)
    this.#open(workspace).recordValue(Math.min(Math.max(1, ratio), highestRatio))
  }

  expectRunTimeMs(workspace: string, declaredMs: number): number {
    const ratios = this.#ratios.get(workspace)
    if (ratios === undefined || ratios.totalCount < jobsMin) return declaredMs
    return (declaredMs * ratios.getValueAtPercentile(quantilePercent)) / ratioScale
  }

  #open(workspace: string): hdr.Histogram {
    const present = this.#ratios.get(workspace)
    if (present !== undefined) return present
    const created = hdr.build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: highestRatio,
      numberOfSignificantValueDigits: 2,
    })
    this.#ratios.set(workspace, created)
    return created
  }
}
