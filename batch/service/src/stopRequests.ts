/** Decides which runs must stop, and has the sessions with their upstreams stop them. */
import { runKey } from '@nettlespur/batch.model'
import {
  listPlacements,
  listStepPlacements,
  type BatchState,
  type Command,
  type JobRecord,
  type Placement,
} from '@nettlespur/batch.state'
import { listAffectedJobs } from './listAffectedJobs.js'
import { stopSupersededRuns } from './stopSupersededRuns.js'
import type { UpstreamRoster } from './upstreamRoster.js'

export interface StopRequestsOptions {
  roster: Pick<UpstreamRoster, 'findSession' | 'sessions'>
  getState: () => BatchState
}

export class StopRequests {
  readonly #opts: StopRequestsOptions
  readonly #preempted = new Set<string>()

  constructor(opts: StopRequestsOptions) {
    this.#opts = opts
  }

  /** See `SessionHost`. */
  shouldStop(placement: Placement): boolean {
    const job = this.#opts.getState().jobs.get(placement.jobId)
    if (job?.status !== 'active' || this.#isPreempted(placement)) return true
    const step = job.steps[placement.step]
    return step !== undefined && placement.attempt <= step.endedGangAttempt
  }

  /** Marks the runs as preempted and has their sessions stop them; the end of a gang member then stops its whole gang. */
  preempt(runs: readonly Placement[]): void {
    for (const run of runs) this.#preempted.add(runKey(run))
    this.#request(runs)
  }

  /** Preempts all members of the gang that the run belongs to; does nothing if it belongs to none. */
  abandonGang({ jobId, step, attempt }: Placement): void {
    const job = this.#opts.getState().jobs.get(jobId)
    if (job?.request.steps[step]?.isGang !== true) return
    this.preempt(listStepPlacements(job, step).filter((run) => run.attempt === attempt))
  }

  /** Requests the stops that are due now that the command has been applied. */
  noteApplied(command: Command): void {
    const state = this.#opts.getState()
    const { sessions } = this.#opts.roster
    for (const run of stopSupersededRuns({ command, state, sessions })) this.forget(run)
    for (const jobId of listAffectedJobs(command)) {
      const job = state.jobs.get(jobId)
      if (job !== undefined) this.#request(listStoppable(job))
    }
  }

  /** To be called for each run that has ended. */
  forget(run: Placement): void {
    this.#preempted.delete(runKey(run))
  }

  #isPreempted(placement: Placement): boolean {
    return this.#preempted.size > 0 && this.#preempted.has(runKey(placement))
  }

  /** Has the sessions stop those of the runs for which `shouldStop` holds. */
  #request(runs: readonly Placement[]): void {
    for (const run of runs) this.#opts.roster.findSession(run.upstreamId)?.stops.stopIfNeeded(run)
  }
}

/** The runs of which the end of another run may demand the stop: all once the job has ended, and else those of gangs. */
function listStoppable(job: JobRecord): Placement[] {
  if (job.status !== 'active') return listPlacements(job)
  return job.request.steps.flatMap(({ isGang }, step) =>
    isGang ? listStepPlacements(job, step) : [],
  )
}
