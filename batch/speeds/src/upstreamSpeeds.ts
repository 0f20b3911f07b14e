/**
 * Learns how fast each upstream works, for pools whose upstreams differ widely in speed. Declared run times are off, so
 * the pace of a task is compared with those of the other tasks of its step; gangs and small steps are weighted by how
 * far off the declared run times of their queue are.
 */
import { computeGangLikelihoods } from './computeGangLikelihoods.js'
import { computeSlowest } from './computeSlowest.js'
import { computePaceLikelihood } from './paceLikelihood.js'
import { estimateDeclarationError, taskScatter } from './estimateDeclarationError.js'
import type { GridDistribution } from './gridDistribution.js'
import type { PaceObservation } from './paceObservation.js'
import { priorLogSpread } from './prior.js'
import { QueueErrors } from './queueErrors.js'
import { SpeedBelief } from './speedBelief.js'
import type { SpeedDistribution } from './speedDistribution.js'
import type { SpeedEstimate } from './speedEstimate.js'
import { measureLogMoments } from './speedGrid.js'
import { StepPaces, type TaskPace } from './stepPaces.js'
import { unknownSpeed } from './unknownSpeed.js'

/** Steps of fewer tasks give no median. */
const comparedTasksMin = 3
/** Counts the uses of a gang's step as a whole, in `StepPaces`. */
const gangKey = ''

/** What is still in use. */
export interface Kept {
  hasJob: (jobId: string) => boolean
  hasUpstream: (upstreamId: string) => boolean
  hasQueue: (name: string) => boolean
}

export class UpstreamSpeeds {
  readonly #beliefs = new Map<string, SpeedBelief>()
  readonly #queues = new Map<string, QueueErrors>()
  /** By job id, then by number of the step. */
  readonly #steps = new Map<string, Map<number, StepPaces>>()

  /** Number of jobs of which paces are held. */
  get jobCount(): number {
    return this.#steps.size
  }

  /** Number of upstreams of which anything is held. */
  get upstreamCount(): number {
    return this.#beliefs.size
  }

  /** Number of paces and counts held of all steps. */
  get heldPaces(): number {
    return [...this.#steps.values()]
      .flatMap((ofJob) => [...ofJob.values()])
      .reduce((sum, { size }) => sum + size, 0)
  }

  get(upstreamId: string, nowMs: number): SpeedDistribution {
    return this.#beliefs.get(upstreamId)?.distribution(nowMs) ?? unknownSpeed
  }

  getEstimate(upstreamId: string, nowMs: number): SpeedEstimate {
    const distribution = this.#beliefs.get(upstreamId)?.distribution(nowMs)
    if (distribution === undefined) return { mean: unknownSpeed.mean, logSpread: priorLogSpread }
    return { mean: distribution.mean, logSpread: Math.sqrt(distribution.logVariance) }
  }

  /** Starts from an estimate of an earlier leader. */
  setEstimate(upstreamId: string, estimate: SpeedEstimate, atMs: number): void {
    this.#beliefs.set(upstreamId, SpeedBelief.fromEstimate(estimate, atMs))
  }

  /** Returns false, and learns nothing, if the pace is not a positive number or no upstream is named. */
  observe(observation: PaceObservation): boolean {
    const { upstreamIds, pace, isGang, step, atMs } = observation
    if (!(pace > 0) || !Number.isFinite(pace) || !Number.isFinite(atMs)) return false
    const [upstreamId] = upstreamIds
    if (upstreamId === undefined) return false
    const logPace = Math.log(pace)
    if (isGang) this.#observeGang(observation, logPace)
    else if (step.taskCount >= comparedTasksMin)
      this.#observeTask(observation, { upstreamId, logPace })
    else this.#learnTasks(observation, [{ upstreamId, logPace }])
    return true
  }

  /** Drops what is held of other jobs, upstreams and queues, and of upstreams whose evidence has lost its weight. */
  keepOnly({ hasJob, hasUpstream, hasQueue }: Kept, nowMs: number): void {
    for (const jobId of this.#steps.keys()) if (!hasJob(jobId)) this.#steps.delete(jobId)
    for (const name of this.#queues.keys()) if (!hasQueue(name)) this.#queues.delete(name)
    for (const [upstreamId, belief] of this.#beliefs) {
      if (!hasUpstream(upstreamId) || !belief.hasEvidence(nowMs)) this.#beliefs.delete(upstreamId)
    }
  }

  /** Paces wait until those of `comparedTasksMin` tasks of the step are known. */
  #observeTask(observation: PaceObservation, pace: TaskPace): void {
    const paces = this.#findStep(observation)
    paces.note(pace)
    paces.waiting.push(pace)
    if (paces.tasks < comparedTasksMin) return
    this.#learnTasks(observation, paces.waiting.splice(0))
  }

  #learnTasks(observation: PaceObservation, tasks: readonly TaskPace[]): void {
    const { queue, atMs } = observation
    const paces = this.#findStep(observation)
    const errors = this.#findQueue(queue)
    const compared = tasks.map(({ upstreamId, logPace }) => {
      const others = paces.listOthers(upstreamId).map((other) => {
        const { logMean, logVariance } = this.#distribution(other.upstreamId, atMs)
        return { logRatio: other.logPace - logMean, logVariance }
      })
      return { upstreamId, logPace, error: estimateDeclarationError(others, errors) }
    })
    for (const { upstreamId, logPace, error } of compared) {
      this.#noteError(errors, logPace, [this.#distribution(upstreamId, atMs)])
      const scatter = Math.sqrt(taskScatter ** 2 + error.variance)
      const likelihood = computePaceLikelihood(logPace - error.log, scatter)
      this.#findBelief(upstreamId, atMs).add(likelihood, paces.countUse(upstreamId), atMs)
    }
  }

  #observeGang(observation: PaceObservation, logPace: number): void {
    const { queue, atMs } = observation
    const upstreamIds = [...new Set(observation.upstreamIds)]
    const errors = this.#findQueue(queue)
    const weight = this.#findStep(observation).countUse(gangKey)
    const likelihood = computePaceLikelihood(logPace - errors.mean, errors.scatter)
    const members = upstreamIds.map((id) => this.#distribution(id, atMs))
    const likelihoods = computeGangLikelihoods(
      members.map(({ probabilities }) => probabilities),
      likelihood,
    )
    this.#noteError(errors, logPace, members)
    for (const [index, upstreamId] of upstreamIds.entries()) {
      const ofMember = likelihoods[index]
      if (ofMember !== undefined) this.#findBelief(upstreamId, atMs).add(ofMember, weight, atMs)
    }
  }

  /** Learns from runs on known upstreams only: elsewhere the pace says as much about the upstream. */
  #noteError(errors: QueueErrors, logPace: number, members: readonly GridDistribution[]): void {
    if (members.some(({ isKnown }) => !isKnown)) return
    const slowest = computeSlowest(members.map(({ probabilities }) => probabilities))
    const { mean, variance } = measureLogMoments(slowest)
    errors.note(logPace - mean, variance)
  }

  #distribution(upstreamId: string, atMs: number): GridDistribution {
    return this.#findBelief(upstreamId, atMs).distribution(atMs)
  }

  #findBelief(upstreamId: string, atMs: number): SpeedBelief {
    const belief = this.#beliefs.get(upstreamId) ?? new SpeedBelief(atMs)
    this.#beliefs.set(upstreamId, belief)
    return belief
  }

  #findQueue(name: string): QueueErrors {
    const errors = this.#queues.get(name) ?? new QueueErrors()
    this.#queues.set(name, errors)
    return errors
  }

  #findStep({ step: { jobId, index } }: PaceObservation): StepPaces {
    const ofJob = this.#steps.get(jobId) ?? new Map<number, StepPaces>()
    this.#steps.set(jobId, ofJob)
    const paces = ofJob.get(index) ?? new StepPaces()
    ofJob.set(index, paces)
    return paces
  }
}
