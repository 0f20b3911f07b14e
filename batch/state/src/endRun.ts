/** Applies the end of one run to its job record. */
import type { Placement, RunEnd } from './command.js'
import { countCrash } from './crashRecord.js'
import { findFailure } from './findFailure.js'
import { isStepDone } from './isStepDone.js'
import { isLateDone, listPlacedInUnit, listUnitTasks } from './lateEnd.js'
import { listStepPlacements } from './placementIndex.js'
import type { JobRecord, StepRecord, TaskRecord } from './records.js'
import { addLoss, settleSilence, type SilenceVerdict } from './upstreamLosses.js'

/** Blame of a `crashed` or `silent` end that carries none. */
const defaultBlame = 'suspected'

/**
 * Updates the job record and returns the placements that the end removes: all members if a gang is done, else the one
 * run. Returns undefined, and changes nothing, if the run is not currently placed: its end was applied before, or the
 * task is placed under another attempt or on another upstream. Late ends are the exception: see `applyLateEnd`.
 */
export function endRun(job: JobRecord, end: RunEnd): Placement[] | undefined {
  const step = job.steps[end.step]
  const task = step?.tasks[end.index]
  if (step === undefined || task === undefined) return undefined
  if (end.isLate === true) return applyLateEnd(job, end)
  if (task.phase !== 'placed' || task.attempt !== end.attempt) return undefined
  if (task.upstreamId !== end.upstreamId) return undefined
  const isGang = job.request.steps[end.step]?.isGang === true
  const endedPlacements =
    isGang && end.outcome === 'done' ? listStepPlacements(job, end.step) : [toPlacement(end)]
  releaseTask(task)
  if (end.hasBegun === true) job.hasBegun = true
  noteLoss(task, end)
  if (isGang) endGangMember(step, task, end)
  else endTask(task, end)
  if (job.status === 'active') updateJobStatus(job, end)
  return endedPlacements
}

/**
 * Applies what was learned of an upstream that was silent under the run. Returns false, and changes nothing, if the job has
 * ended or nothing new was learned.
 */
export function settleRun(job: JobRecord, run: Placement, verdict: SilenceVerdict): boolean {
  const task = job.steps[run.step]?.tasks[run.index]
  if (job.status !== 'active' || task === undefined) return false
  if (!settleSilence(task, run, verdict)) return false
  updateJobStatus(job, run)
  return true
}

function noteLoss(task: TaskRecord, end: RunEnd): void {
  const { outcome, attempt, blame = defaultBlame, isCertain = false } = end
  const { upstreamId } = toSilentRun(end)
  const loss = { attempt, upstreamId, blame, wasAtWork: end.wasAtWork === true }
  if (end.dropsFormerCrashes === true) dropFormerCrashes(task)
  if (outcome === 'silent') addLoss(task, { ...loss, fate: 'open' })
  if (outcome !== 'crashed') return
  if (isCertain) addLoss(task, { ...loss, fate: 'crashed' })
  else task.crashes = countCrash(task.crashes, { attempt, blame })
}

/** Returns the run on the upstream that fell silent. */
export function toSilentRun(end: RunEnd): Placement {
  const { jobId, step, index, attempt, upstreamId, silentUpstreamId = upstreamId } = end
  return { jobId, step, index, attempt, upstreamId: silentUpstreamId }
}

/** Keeps the crashes with certain guilt, which were never silences. Their attempts are not known any more. */
function dropFormerCrashes(task: TaskRecord): void {
  const loss = { attempt: 0, upstreamId: '', blame: 'blamed', wasAtWork: false } as const
  const { blamed = 0 } = task.crashes ?? {}
  for (let crash = 0; crash < blamed; crash++) addLoss(task, { ...loss, fate: 'crashed' })
  delete task.crashes
}

/**
 * Completes the task, or the gang, and returns the placements of the later attempt that it makes superfluous: none if the
 * task waits. Returns undefined, and changes nothing, if the end is not a late one.
 */
function applyLateEnd(job: JobRecord, end: RunEnd): Placement[] | undefined {
  if (!isLateDone(job, end)) return undefined
  const superseded = listPlacedInUnit(job, end)
  for (const task of listUnitTasks(job, end)) {
    releaseTask(task)
    task.phase = 'done'
  }
  updateJobStatus(job, end)
  return superseded
}

function toPlacement({ jobId, step, index, attempt, upstreamId }: RunEnd): Placement {
  return { jobId, step, index, attempt, upstreamId }
}

function endTask(task: TaskRecord, { outcome, checkpoint, upstreamId }: RunEnd): void {
  if (outcome === 'done') task.phase = 'done'
  if (outcome === 'failed') {
    task.failures += 1
    task.failedOn.push(upstreamId)
  }
  if (checkpoint !== undefined && checkpoint !== '') task.checkpoint = checkpoint
}

/** The first member to finish completes the gang; any other outcome ends the attempt for all members. */
function endGangMember(step: StepRecord, task: TaskRecord, end: RunEnd): void {
  const { outcome, attempt, checkpoint, upstreamId } = end
  if (outcome === 'done') {
    step.tasks.forEach((member) => {
      releaseTask(member)
      member.phase = 'done'
    })
    return
  }
  if (outcome === 'failed') {
    task.failedOn.push(upstreamId)
    countGangFailure(step, attempt)
  }
  step.endedGangAttempt = Math.max(step.endedGangAttempt, attempt)
  if (checkpoint === undefined || checkpoint === '') return
  // A checkpoint of any member is valid for the gang, and all members must resume from the same one.
  for (const member of step.tasks) member.checkpoint = checkpoint
}

function countGangFailure(step: StepRecord, attempt: number): void {
  if (step.failedGangAttempt >= attempt) return
  step.failedGangAttempt = attempt
  step.gangFailures += 1
}

function releaseTask(task: TaskRecord): void {
  task.phase = 'waiting'
  delete task.upstreamId
}

function updateJobStatus(job: JobRecord, changed: Placement): void {
  const failure = findFailure(job, changed)
  if (failure !== undefined) {
    job.status = 'failed'
    job.failure = failure
    return
  }
  if (job.steps.every(isStepDone)) job.status = 'completed'
}
