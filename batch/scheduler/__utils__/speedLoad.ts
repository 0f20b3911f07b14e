/** A fleet whose upstreams differ in speed, and a load of urgent and other jobs on it. */
import type { StepSpec } from '@nettlespur/batch.model'
import { createJob } from '@nettlespur/batch.samples'
import { certainSpeed } from '@nettlespur/batch.speeds'
import type { Placement } from '@nettlespur/batch.state'
import { createGang } from './createGang.js'
import { Fleet } from './fleet.js'

export const gradedSpeeds: readonly number[] = [0.6, 1, 1.6]
const urgentStretch = 1.5
const urgentLatencyMs = 250

/** Creates racks of three upstreams, one of each speed: `u0`, `u3` and so on are the slow ones. */
export function createGradedFleet(rackCount: number, areKnown = true): Fleet {
  const racks = Array.from({ length: rackCount }, (_, rack) => gradedSpeeds.map(() => `r${rack}`))
  const fleet = new Fleet(...racks.flat())
  fleet.setObjective(0, urgentStretch, urgentLatencyMs)
  racks.flat().forEach((_, at) => {
    const speed = gradedSpeeds[at % gradedSpeeds.length] ?? 1
    fleet.paces.set(`u${at}`, speed)
    if (areKnown) fleet.speeds.set(`u${at}`, certainSpeed(speed))
  })
  return fleet
}

interface SubmittedJob {
  readonly jobId: string
  readonly atMs: number
  readonly runTimeMs: number
  endedAtMs: number
}

export class SpeedLoad {
  readonly fleet: Fleet
  readonly placements: Placement[] = []
  readonly #urgent: SubmittedJob[] = []
  /** Accelerators in use after each round, summed up by upstream. */
  readonly #usedRounds = new Map<string, number>()

  constructor(fleet: Fleet) {
    this.fleet = fleet
  }

  submit(jobId: string, step: Partial<StepSpec>, priority: number): void {
    const runTimeMs = step.expectedRunTimeMs ?? 0
    this.fleet.runTimesMs.set(jobId, runTimeMs)
    this.fleet.submit(createJob(jobId, step), priority)
    const job = { jobId, atMs: this.fleet.nowMs, runTimeMs, endedAtMs: Infinity }
    if (priority === 0) this.#urgent.push(job)
  }

  submitUrgent(jobId: string, taskCount: number, accelerators: number, runTimeMs = 2000): void {
    this.submit(jobId, createGang(taskCount, accelerators, { expectedRunTimeMs: runTimeMs }), 0)
  }

  /** Plays rounds for that long. */
  play(lengthMs: number): void {
    const untilMs = this.fleet.nowMs + lengthMs
    const placed = this.fleet.playUntil(untilMs, () => {
      this.#noteEnds()
      this.#noteUse()
    })
    this.placements.push(...placed)
  }

  /** Returns the ids of urgent jobs that have not ended within their objective. */
  listLate(): string[] {
    const late = this.#urgent.filter(
      ({ atMs, runTimeMs, endedAtMs }) =>
        endedAtMs - atMs > urgentStretch * runTimeMs + urgentLatencyMs,
    )
    return late.map(({ jobId }) => jobId)
  }

  /** Returns the speeds of the upstreams on which the job was placed. */
  speedsOf(jobId: string): number[] {
    const placed = this.placements.filter((run) => run.jobId === jobId)
    return placed.map(({ upstreamId }) => this.fleet.paces.get(upstreamId) ?? 1)
  }

  /** Returns how much the upstreams of the speeds were in use: accelerators times rounds, for each of them. */
  measureUse(isIncluded: (speed: number) => boolean): number {
    const ids = [...this.fleet.paces].filter(([, speed]) => isIncluded(speed)).map(([id]) => id)
    const used = ids.reduce((sum, id) => sum + (this.#usedRounds.get(id) ?? 0), 0)
    return used / ids.length
  }

  #noteUse(): void {
    const { placements, jobs } = this.fleet.state
    for (const upstreamId of placements.upstreamIds) {
      const runs = [...placements.getByUpstream(upstreamId).values()]
      const used = runs.reduce(
        (sum, { jobId, step }) => {
          return sum + (jobs.get(jobId)?.request.steps[step]?.needs.accelerators ?? 0)
        },
        this.#usedRounds.get(upstreamId) ?? 0,
      )
      this.#usedRounds.set(upstreamId, used)
    }
  }

  #noteEnds(): void {
    for (const job of this.#urgent) {
      const isDone = this.fleet.state.jobs.get(job.jobId)?.status === 'completed'
      if (isDone) job.endedAtMs = Math.min(job.endedAtMs, this.fleet.nowMs)
    }
  }
}
