/** Learns from finished jobs by how much the declared run times of each workspace are off. */
import type { ControlState } from '@nettlespur/control.state'
import { RunTimeCorrection } from '@nettlespur/placement.engine'

const learnEveryMs = 60_000

export class RunTimeLearner {
  readonly correction = new RunTimeCorrection()
  #seen = new Set<string>()
  #nextMs = 0

  /** Observes jobs that have finished since the last pass; does nothing within a minute of that pass. */
  learn(state: ControlState, nowMs: number): void {
    if (nowMs < this.#nextMs) return
    this.#nextMs = nowMs + learnEveryMs
    const ended = state.listEndedJobs()
    for (const { jobId, request, state: end, startedAt, endedAt, attempts } of ended) {
      const ranOnce = end === 'finished' && attempts === 1
      if (!ranOnce || startedAt === undefined || endedAt === undefined) continue
      if (this.#seen.has(jobId)) continue
      const neededMs = Date.parse(endedAt) - Date.parse(startedAt)
      this.correction.observeRunTime(request.workspace, request.expectedRunTimeMs, neededMs)
    }
    this.#seen = new Set(ended.map(({ jobId }) => jobId))
  }
}
