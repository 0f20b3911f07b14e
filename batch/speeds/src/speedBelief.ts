/**
 * What observations say about the speed of one upstream. Evidence loses half of its weight in each half-life, so that the
 * distribution returns to the prior, and is bounded, so that a change of speed is noticed however much evidence there is.
 */
import { maxOf, minOf } from '@nettlespur/core.lists'
import { GridDistribution } from './gridDistribution.js'
import { priorMoments, priorProbabilities } from './prior.js'
import type { SpeedEstimate } from './speedEstimate.js'
import { logSpeeds, normalise, type GridWeights } from './speedGrid.js'

/** Slow spells last minutes; their end should be noticed within one. */
const halfLifeMs = 60_000
/** The largest difference of log-likelihood between two speeds that evidence can build up. */
const evidenceMax = 8
/** Evidence below this is dropped: it does not change the distribution noticeably. */
const evidenceMin = 0.02
/** How old the computed distribution may be; it loses about a hundredth of its evidence in that time. */
const refreshMs = 1000

export class SpeedBelief {
  /** Log-likelihood of each speed, relative to the most likely one; empty without evidence. */
  #evidence: number[]
  #atMs: number
  #distribution: GridDistribution | undefined

  constructor(atMs: number, evidence: GridWeights = []) {
    this.#atMs = atMs
    this.#evidence = [...evidence]
  }

  /** Returns the evidence after which the distribution is about as the estimate says. */
  static fromEstimate({ mean, logSpread }: SpeedEstimate, atMs: number): SpeedBelief {
    const variance = Math.max(logSpread, 0.05) ** 2
    const precision = 1 / variance - 1 / priorMoments.variance
    if (!(precision > 0) || !(mean > 0)) return new SpeedBelief(atMs)
    const logMean = Math.log(mean) - variance / 2
    const centre = (logMean / variance - priorMoments.mean / priorMoments.variance) / precision
    const belief = new SpeedBelief(atMs)
    belief.#setEvidence(logSpeeds.map((logSpeed) => (-precision * (logSpeed - centre) ** 2) / 2))
    return belief
  }

  /** Whether there is evidence left; without any, the speed is unknown. */
  hasEvidence(nowMs: number): boolean {
    this.#decay(nowMs)
    return this.#evidence.length > 0
  }

  /** The distribution as of `nowMs`, or up to `refreshMs` before. */
  distribution(nowMs: number): GridDistribution {
    if (this.#distribution === undefined || nowMs - this.#atMs >= refreshMs) {
      this.#decay(nowMs)
      const evidence = this.#evidence
      this.#distribution = new GridDistribution(
        normalise(priorProbabilities.map((share, index) => share * Math.exp(evidence[index] ?? 0))),
      )
    }
    return this.#distribution
  }

  /** Adds an observation. A `weight` below 1 counts it in part, for one that is not independent of earlier ones. */
  add(likelihood: GridWeights, weight: number, atMs: number): void {
    this.#decay(atMs)
    this.#setEvidence(
      likelihood.map((density, index) => {
        return (this.#evidence[index] ?? 0) + weight * Math.log(Math.max(density, Number.MIN_VALUE))
      }),
    )
    this.#distribution = undefined
  }

  #setEvidence(evidence: GridWeights): void {
    const best = maxOf(evidence)
    this.#evidence = evidence.map((value) => Math.max(value - best, -evidenceMax))
  }

  #decay(nowMs: number): void {
    const elapsedMs = nowMs - this.#atMs
    if (elapsedMs <= 0) return
    this.#atMs = nowMs
    this.#distribution = undefined
    const kept = 0.5 ** (elapsedMs / halfLifeMs)
    this.#evidence = this.#evidence.map((value) => value * kept)
    if (minOf(this.#evidence) > -evidenceMin) this.#evidence = []
  }
}
