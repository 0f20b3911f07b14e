/** Creates the input of a placement round: upstreams as last announced, everything else as committed. */
import type { UpstreamView } from '@nettlespur/api.schemas'
import type { ControlState, JobRecord } from '@nettlespur/control.state'
import type { RunTimeCorrection, PlacementView, WaitingJob } from '@nettlespur/placement.engine'
import { readStoppability, type RunningGang } from '@nettlespur/placement.topology'

export interface PlacementViewOptions {
  state: ControlState
  upstreams: readonly UpstreamView[]
  now: Date
  /** Corrects declared run times; they are used unchanged without it. */
  correction?: RunTimeCorrection
}

export function createPlacementView(opts: PlacementViewOptions): PlacementView {
  const { state, upstreams, now } = opts
  const jobs = state.listLiveJobs()
  return {
    nowMs: now.getTime(),
    upstreams,
    running: jobs.flatMap((job) => toRunningGang(opts, job)),
    waiting: jobs.filter((job) => job.state === 'queued').map((job) => toWaitingJob(opts, job)),
    contracts: state.listContracts().map(({ contract }) => contract),
  }
}

/** A job occupies its placement until its end is committed, after all of its members have stopped. */
function toRunningGang(opts: PlacementViewOptions, job: JobRecord): RunningGang[] {
  const { placement, state } = job
  if (placement === undefined) return []
  return [
    {
      ...describeJob(opts, job),
      blocks: placement.members,
      isStopping: state === 'stopping' || job.preemption !== undefined,
      startedAtMs: state === 'reserving' ? undefined : findLastEventMs(job, 'job.started'),
      checkpointedAtMs: undefined,
      attempts: job.attempts,
    },
  ]
}

function toWaitingJob(opts: PlacementViewOptions, job: JobRecord): WaitingJob {
  const { retryAt } = job
  const submittedAtMs = Date.parse(job.submittedAt)
  const tooEarly = retryAt !== undefined && Date.parse(retryAt) > opts.now.getTime()
  const heldBack = tooEarly ? `not retried before ${retryAt}` : undefined
  const queuedAtMs = findLastEventMs(job, 'job.requeued') ?? submittedAtMs
  return { ...describeJob(opts, job), submittedAtMs, queuedAtMs, holdReason: heldBack }
}

function describeJob({ correction }: PlacementViewOptions, { jobId, request }: JobRecord) {
  const { workspace, gang, cpuCores, memoryBytes, urgency, expectedRunTimeMs: declaredMs } = request
  return {
    jobId,
    workspace,
    gang,
    cpuCores,
    memoryBytes,
    urgency,
    stoppability: readStoppability(request),
    expectedRunTimeMs: correction?.estimateRunTimeMs(workspace, declaredMs) ?? declaredMs,
  }
}

/** Returns undefined if the job has no such event. */
function findLastEventMs({ decisions }: JobRecord, event: string): number | undefined {
  const found = decisions.findLast((decision) => decision.event === event)
  return found === undefined ? undefined : Date.parse(found.at)
}
