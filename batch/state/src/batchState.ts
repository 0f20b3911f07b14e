/**
 * The replicated state of all control members: the configuration, the jobs with the placement of each task, and
 * the upstreams. Applying a command is deterministic, so every member computes the same state.
 */
import { unitKey, type ClusterConfig } from '@nettlespur/batch.model'
import { EvacuationTable } from '@nettlespur/core.evacuations'
import { isDeepStrictEqual } from 'node:util'
import type { BatchSnapshot } from './batchSnapshot.js'
import { BegunJobs } from './begunJobs.js'
import type { Command, CommandOf, CommandOutcome, Placement, RunEnd } from './command.js'
import { createJobRecord } from './createJobRecord.js'
import { endRun, settleRun, toSilentRun } from './endRun.js'
import { measureJobSize } from './measureJobSize.js'
import { hasPlacements, PlacementIndex } from './placementIndex.js'
import { SilenceIndex } from './silenceIndex.js'
import { changeUpstream, noteUpstream } from './upstreamRecords.js'
import type { UpstreamSpeed } from './upstreamSpeed.js'
import type { JobRecord, UpstreamRecord } from './records.js'

export class BatchState {
  config: ClusterConfig | undefined
  readonly jobs = new Map<string, JobRecord>()
  /** Jobs that are active or still have placed runs, by job id. */
  readonly unsettled = new Map<string, JobRecord>()
  readonly upstreams = new Map<string, UpstreamRecord>()
  /** Learned speeds by upstream id, of upstreams that the state holds. */
  readonly speeds = new Map<string, UpstreamSpeed>()
  readonly placements = new PlacementIndex()
  /** Of active jobs: the runs that ended with a silence of their upstreams, as long as it is not settled. */
  readonly silences = new SilenceIndex()
  /** The jobs of which committed ends show that a task has begun; what runs now is known to the leader alone. */
  readonly begunJobs = new BegunJobs()
  evacuations = new EvacuationTable([])
  #acceptedJobs = 0
  #heldSize = 0

  static restore(snapshot: BatchSnapshot): BatchState {
    const state = new BatchState()
    state.config = snapshot.config
    state.#acceptedJobs = snapshot.acceptedJobs
    state.evacuations = new EvacuationTable(snapshot.evacuations ?? [])
    for (const upstream of snapshot.upstreams) {
      state.upstreams.set(upstream.description.upstreamId, upstream)
    }
    for (const speed of snapshot.speeds ?? []) state.speeds.set(speed.upstreamId, speed)
    for (const job of snapshot.jobs) {
      state.#addJob(job)
      state.placements.addJob(job)
      state.begunJobs.addJob(job)
      if (job.status === 'active') state.silences.addJob(job)
      state.#updateUnsettled(job)
    }
    return state
  }

  snapshot(): BatchSnapshot {
    const evacuations = this.evacuations.list()
    return {
      config: this.config,
      jobs: [...this.jobs.values()],
      upstreams: [...this.upstreams.values()],
      acceptedJobs: this.#acceptedJobs,
      ...(evacuations.length === 0 ? {} : { evacuations }),
      ...(this.speeds.size === 0 ? {} : { speeds: [...this.speeds.values()] }),
    }
  }

  /** The sizes of all jobs that the state holds, ended ones included; see `measureJobSize`. */
  get heldSize(): number {
    return this.#heldSize
  }

  /** Whether the data centre of the upstream is evacuated, so that nothing may start there. */
  isEvacuated(upstreamId: string): boolean {
    const dataCentre = this.upstreams.get(upstreamId)?.description.dataCentre
    return dataCentre !== undefined && this.evacuations.isInForce(dataCentre)
  }

  apply(command: Command): CommandOutcome {
    switch (command.type) {
      case 'apply-config':
        return this.#applyConfig(command.config)
      case 'submit-job':
        return this.#submitJob(command)
      case 'cancel-job':
        return this.#cancelJob(command.jobId)
      case 'place-tasks':
        return this.#placeTasks(command)
      case 'end-runs':
        return this.#endRuns(command.ends)
      case 'settle-silences':
        return this.#settleSilences(command)
      case 'note-upstream':
        return noteUpstream(this.upstreams, command)
      case 'drain-upstream':
        return changeUpstream(this.upstreams, command.upstreamId, { isDraining: true })
      case 'remove-upstream':
        return changeUpstream(this.upstreams, command.upstreamId, {
          isDraining: true,
          hasLeft: true,
        })
      case 'change-evacuation':
        return this.evacuations.change(command.change)
      case 'note-speeds':
        return this.#noteSpeeds(command.speeds)
      case 'forget-jobs':
        for (const jobId of command.jobIds) this.#forgetJob(jobId)
        return 'done'
      case 'forget-upstreams':
        for (const upstreamId of command.upstreamIds) this.#forgetUpstream(upstreamId)
        return 'done'
    }
  }

  #applyConfig(config: ClusterConfig): CommandOutcome {
    if (this.config !== undefined && config.version <= this.config.version) return 'unchanged'
    this.config = config
    const queues = new Map(config.queues.map((queue) => [queue.name, queue]))
    for (const job of this.unsettled.values()) job.queue = queues.get(job.queue.name) ?? job.queue
    return 'done'
  }

  #submitJob({ request, workspace, queueName }: CommandOf<'submit-job'>): CommandOutcome {
    const known = this.jobs.get(request.jobId)
    if (known !== undefined) {
      const isSame = known.workspace === workspace && isDeepStrictEqual(known.request, request)
      return isSame ? 'unchanged' : 'conflict'
    }
    const queue = this.config?.queues.find(({ name }) => name === queueName)
    if (queue === undefined) return 'unknown-queue'
    this.#acceptedJobs += 1
    const job = createJobRecord({ request, workspace, queue, number: this.#acceptedJobs })
    this.#addJob(job)
    this.#updateUnsettled(job)
    return 'done'
  }

  #addJob(job: JobRecord): void {
    this.jobs.set(job.request.jobId, job)
    this.#heldSize += measureJobSize(job.request)
  }

  #cancelJob(jobId: string): CommandOutcome {
    const job = this.jobs.get(jobId)
    if (job === undefined) return 'unknown-job'
    if (job.status !== 'active') return 'unchanged'
    job.status = 'cancelled'
    this.#updateUnsettled(job)
    return 'done'
  }

  /**
   * Applies each placement whose task is waiting and whose attempt is newer than the last, but none that a round decided
   * before the evacuation of its data centre took effect, nor the other members of its gang.
   */
  #placeTasks({ placements }: CommandOf<'place-tasks'>): CommandOutcome {
    const evacuated = placements.filter(({ upstreamId }) => this.isEvacuated(upstreamId))
    const barredUnits = new Set(evacuated.map(unitKey))
    for (const placement of placements) {
      const isBarred = this.#isGang(placement)
        ? barredUnits.has(unitKey(placement))
        : this.isEvacuated(placement.upstreamId)
      if (isBarred) continue
      const job = this.jobs.get(placement.jobId)
      const task = job?.steps[placement.step]?.tasks[placement.index]
      if (job?.status !== 'active' || task?.phase !== 'waiting') continue
      if (placement.attempt <= task.attempt) continue
      task.phase = 'placed'
      task.attempt = placement.attempt
      task.upstreamId = placement.upstreamId
      job.hasStarted = true
      this.placements.add(placement)
    }
    return 'done'
  }

  /**
   * Updates the index only for the placements that each end removes. Listing all runs of the job for every end
   * would dominate the time in which a restarting member replays its log.
   */
  #endRuns(ends: readonly RunEnd[]): CommandOutcome {
    let outcome: CommandOutcome = 'unchanged'
    for (const end of ends) {
      const job = this.jobs.get(end.jobId)
      if (job === undefined) continue
      const endedPlacements = endRun(job, end)
      if (endedPlacements === undefined) continue
      outcome = 'done'
      this.begunJobs.noteEnd(end)
      if (end.outcome === 'silent') this.silences.add(toSilentRun(end))
      if (end.outcome === 'done') this.silences.removeDone(job, end)
      for (const placement of endedPlacements) this.placements.remove(placement)
      this.#updateUnsettled(job)
    }
    return outcome
  }

  #settleSilences({ runs, verdict }: CommandOf<'settle-silences'>): CommandOutcome {
    let outcome: CommandOutcome = 'unchanged'
    for (const run of runs) {
      if (verdict !== 'unknown') this.silences.remove(run)
      const job = this.jobs.get(run.jobId)
      if (job === undefined || !settleRun(job, run, verdict)) continue
      outcome = 'done'
      this.#updateUnsettled(job)
    }
    return outcome
  }

  /** Leaves out upstreams that were forgotten meanwhile. */
  #noteSpeeds(speeds: readonly UpstreamSpeed[]): CommandOutcome {
    const known = speeds.filter(({ upstreamId }) => this.upstreams.has(upstreamId))
    for (const speed of known) this.speeds.set(speed.upstreamId, speed)
    return known.length === 0 ? 'unchanged' : 'done'
  }

  #isGang({ jobId, step }: Placement): boolean {
    return this.jobs.get(jobId)?.request.steps[step]?.isGang === true
  }

  #forgetUpstream(upstreamId: string): void {
    if (this.placements.getByUpstream(upstreamId).size > 0) return
    this.upstreams.delete(upstreamId)
    this.speeds.delete(upstreamId)
  }

  #forgetJob(jobId: string): void {
    const job = this.jobs.get(jobId)
    if (job === undefined || this.unsettled.has(jobId)) return
    this.jobs.delete(jobId)
    this.#heldSize -= measureJobSize(job.request)
    this.begunJobs.forget(jobId)
  }

  /** Adds the job to `unsettled` while it is active or has placed runs, and removes it otherwise. */
  #updateUnsettled(job: JobRecord): void {
    const { jobId } = job.request
    if (job.status !== 'active') this.silences.removeJob(job.request.jobId)
    const isOpen = job.status === 'active' || hasPlacements(job)
    if (isOpen) this.unsettled.set(jobId, job)
    else this.unsettled.delete(jobId)
  }
}
