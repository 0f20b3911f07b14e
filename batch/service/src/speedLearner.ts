/**
 * Learns the speeds of upstreams for the leader: takes one observation for each run or gang attempt, and starts from the
 * estimates that earlier leaders committed.
 */
import { PaceWatch, type RunPace } from '@nettlespur/batch.sessions'
import { UpstreamSpeeds, type SpeedDistribution } from '@nettlespur/batch.speeds'
import type { BatchState, Placement } from '@nettlespur/batch.state'
import type { Clock } from '@nettlespur/core.clock'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import { listPacedUpstreams } from './listPacedUpstreams.js'
import { ObservedGangs } from './observedGangs.js'
import type { RecordFaultReporter } from './recordFaultReporter.js'

export interface SpeedLearnerOptions {
  clock: Clock
  metrics: MetricsRegistry
  /** Receives reports of impossible progress. */
  faults: RecordFaultReporter
  getState: () => BatchState
  /** Whether the upstream has started lately and is slow for a while. */
  isCold: (upstreamId: string) => boolean
}

export class SpeedLearner extends PaceWatch {
  readonly speeds = new UpstreamSpeeds()
  readonly #opts: SpeedLearnerOptions
  readonly #observedGangs = new ObservedGangs()

  constructor(opts: SpeedLearnerOptions) {
    super()
    this.#opts = opts
    const nowMs = opts.clock.monotonicMs()
    for (const { upstreamId, ...estimate } of opts.getState().speeds.values()) {
      this.speeds.setEstimate(upstreamId, estimate, nowMs)
    }
  }

  get(upstreamId: string, nowMs: number): SpeedDistribution {
    return this.speeds.get(upstreamId, nowMs)
  }

  override isWanted(run: Placement): boolean {
    const { getState, isCold } = this.#opts
    if (this.#observedGangs.has(run)) return false
    return listPacedUpstreams({ state: getState(), isCold }, run).length > 0
  }

  override notePace(run: Placement, { progress, elapsedMs }: RunPace): void {
    const { clock, metrics, getState, isCold } = this.#opts
    const state = getState()
    const job = state.jobs.get(run.jobId)
    const step = job?.request.steps[run.step]
    if (job === undefined || step === undefined || this.#observedGangs.has(run)) return
    const upstreamIds = listPacedUpstreams({ state, isCold }, run)
    if (upstreamIds.length === 0) return
    const { isGang, taskCount, expectedRunTimeMs } = step
    const isTaken = this.speeds.observe({
      upstreamIds,
      step: { jobId: run.jobId, index: run.step, taskCount },
      queue: job.queue.name,
      isGang,
      pace: (expectedRunTimeMs * progress) / elapsedMs,
      atMs: clock.monotonicMs(),
    })
    if (!isTaken) return
    if (isGang) this.#observedGangs.add(run)
    metrics.count('speed_observations_total')
  }

  override noteInvalidProgress(run: Placement, progressPercent: number): void {
    const reason = `progress ran backwards or beyond 100, to ${progressPercent}`
    this.#opts.faults.report({ kind: 'pace', sender: run.upstreamId, reason })
  }

  /** Drops what is held of ended jobs, forgotten upstreams and former queues. */
  clean(): void {
    const { clock, getState } = this.#opts
    const { unsettled, upstreams, config } = getState()
    const queues = new Set(config?.queues.map(({ name }) => name))
    const kept = {
      hasJob: (jobId: string) => unsettled.has(jobId),
      hasUpstream: (upstreamId: string) => upstreams.has(upstreamId),
      hasQueue: (name: string) => queues.has(name),
    }
    this.speeds.keepOnly(kept, clock.monotonicMs())
    this.#observedGangs.keepOnly((jobId) => unsettled.has(jobId))
  }
}
