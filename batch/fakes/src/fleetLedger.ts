/** Records what all fake upstreams of a test run, and the invariants that are violated. */
import { taskKey, type JobRequest, type Resources, type RunRef } from '@nettlespur/batch.model'
import type { FinishedOutcome } from '@nettlespur/batch.sessions'
import type { Clock } from '@nettlespur/core.clock'
import { minOf } from '@nettlespur/core.lists'
import { GiveUpReasons } from './giveUpReasons.js'
import { RunProgress } from './runProgress.js'

const gangWaitMs = 3000
/** A task that has caused this many crashes may be started at most `crashesMax - 1` more times. */
const crashesMax = 3
const noNeeds: Resources = { cpuMillicores: 0, memoryMiB: 0, accelerators: 0 }

/** An upstream, as far as the ledger needs it. */
export interface RunHolder {
  /** How fast it works; 1 if undefined. */
  readonly speed: number | undefined
  /** Whether the run is in progress there. */
  holds(run: RunRef): boolean
  /** Ends the run with this outcome. */
  end(run: RunRef, outcome: FinishedOutcome): void
}

export interface FleetLedgerOptions {
  clock: Clock
  acceleratorsEach: number
  /** Decides the outcome of a run that is not interrupted. */
  decideOutcome: (run: RunRef) => 'done' | 'failed'
  /** Failed runs of one task, or failed attempts of one gang, after which the job may be given up. */
  attemptsMax: number
  /** Whether the run crashes the upstream that starts it. */
  crashes?: (run: RunRef) => boolean
}

export class FleetLedger {
  readonly violations: string[] = []
  /** All starts that upstreams have carried out. */
  readonly starts: RunRef[] = []
  readonly acceleratorsEach: number
  /** Keys of tasks whose last end was `done` and has been acknowledged. */
  readonly doneTasks = new Set<string>()
  readonly #opts: FleetLedgerOptions
  readonly #jobs = new Map<string, JobRequest>()
  readonly #upstreams: RunHolder[] = []
  readonly #running = new Map<string, RunRef>()
  /** The last run of each task that ended `done`, acknowledged or not, by task key. */
  readonly lastDoneRuns = new Map<string, RunRef>()
  /** Number of upstream crashes that each task has caused, by task key. */
  readonly crashesCaused = new Map<string, number>()
  readonly #reasons: GiveUpReasons
  readonly #startsAfterCrashes = new Map<string, number>()
  readonly #progress: RunProgress

  constructor(opts: FleetLedgerOptions) {
    this.#opts = opts
    this.acceleratorsEach = opts.acceleratorsEach
    this.#progress = new RunProgress(opts.clock)
    this.#reasons = new GiveUpReasons(opts.attemptsMax)
  }

  addJob(request: JobRequest): void {
    this.#jobs.set(request.jobId, request)
  }

  addUpstream(upstream: RunHolder): void {
    this.#upstreams.push(upstream)
  }

  needsOf({ jobId, step }: RunRef): Resources {
    return this.#jobs.get(jobId)?.steps[step]?.needs ?? noNeeds
  }

  /** Returns the keys of a job's tasks, and whether each belongs to a gang. */
  listTasks(jobId: string): { key: string; isGang: boolean }[] {
    const steps = this.#jobs.get(jobId)?.steps ?? []
    return steps.flatMap(({ taskCount, isGang }, step) =>
      Array.from({ length: taskCount }, (_, index) => ({
        key: taskKey({ jobId, step, index }),
        isGang,
      })),
    )
  }

  noteStart(run: RunRef, upstream: RunHolder): void {
    const key = taskKey(run)
    const name = `${key}#${run.attempt}`
    this.starts.push(run)
    if (this.#running.has(key)) this.violations.push(`${name} started while another run is going`)
    if (this.doneTasks.has(key)) this.violations.push(`${name} started after it was done`)
    if (!this.#dependenciesAreDone(run))
      this.violations.push(`${name} started before its dependencies were done`)
    this.#checkCrashBudget(key)
    this.#running.set(key, run)
    const step = this.#stepOf(run)
    if (step?.isGang === true) this.#joinGang(run)
    else this.#scheduleEnd(run, upstream)
  }

  noteEnd(run: RunRef, outcome: FinishedOutcome): void {
    const key = taskKey(run)
    this.#running.delete(key)
    this.#progress.end(run)
    if (outcome === 'failed') this.#reasons.noteFailure(run, this.#stepOf(run)?.isGang === true)
    if (outcome === 'done') this.lastDoneRuns.set(key, run)
    if (this.#stepOf(run)?.isGang !== true || outcome === 'done') return
    for (const member of this.#membersOf(run)) this.#endEverywhere(member, 'broken')
  }

  /** Returns the progress of a run in percent: 0 before its gang is complete, or if the upstream reports none. */
  readProgress(run: RunRef, { speed }: RunHolder): number {
    return speed === undefined ? 0 : this.#progress.read(run)
  }

  shouldCrash(run: RunRef): boolean {
    return this.#opts.crashes?.(run) ?? false
  }

  noteCrashCaused(run: RunRef): void {
    const key = taskKey(run)
    this.crashesCaused.set(key, (this.crashesCaused.get(key) ?? 0) + 1)
  }

  noteOvercommitted(run: RunRef): void {
    this.violations.push(`${taskKey(run)}#${run.attempt} exceeded the capacity of its upstream`)
  }

  /** Records that the run was lost because its upstream crashed. */
  noteLostInCrash(run: RunRef): void {
    this.#reasons.noteCrash(run)
    this.noteEnd(run, 'lapsed')
  }

  /** Whether tasks of the job have failed or been lost in crashes often enough for the job to be given up. */
  canBeGivenUp(jobId: string): boolean {
    return this.#reasons.canBeGivenUp(jobId)
  }

  noteAcknowledged(run: RunRef): void {
    if (this.lastDoneRuns.get(taskKey(run))?.attempt === run.attempt)
      this.doneTasks.add(taskKey(run))
  }

  #checkCrashBudget(key: string): void {
    if ((this.crashesCaused.get(key) ?? 0) < crashesMax) return
    const starts = (this.#startsAfterCrashes.get(key) ?? 0) + 1
    this.#startsAfterCrashes.set(key, starts)
    if (starts === crashesMax) {
      this.violations.push(`${key} started ${starts} times more after ${crashesMax} crashes`)
    }
  }

  #scheduleEnd(run: RunRef, upstream: RunHolder): void {
    const outcome = this.#opts.decideOutcome(run)
    const runTimeMs = (this.#stepOf(run)?.expectedRunTimeMs ?? 0) / (upstream.speed ?? 1)
    this.#progress.begin([run], runTimeMs)
    this.#opts.clock.setTimer(runTimeMs, () => {
      upstream.end(run, outcome)
    })
  }

  #joinGang(run: RunRef): void {
    const members = this.#membersOf(run)
    const size = this.#stepOf(run)?.taskCount ?? 0
    if (members.length === size) {
      const outcome = this.#opts.decideOutcome(run)
      const slowest = minOf(members.map((member) => this.#speedOf(member)))
      const runTimeMs = (this.#stepOf(run)?.expectedRunTimeMs ?? 0) / slowest
      this.#progress.begin(members, runTimeMs)
      this.#opts.clock.setTimer(runTimeMs, () => {
        if (outcome === 'failed') this.#endEverywhere(run, outcome)
        else for (const member of members) this.#endEverywhere(member, outcome)
      })
      return
    }
    this.#opts.clock.setTimer(gangWaitMs, () => {
      if (this.#membersOf(run).length < size) this.#endEverywhere(run, 'alone')
    })
  }

  /** Returns the running gang members of the same attempt. */
  #membersOf({ jobId, step, attempt }: RunRef): RunRef[] {
    return [...this.#running.values()].filter(
      (other) => other.jobId === jobId && other.step === step && other.attempt === attempt,
    )
  }

  #endEverywhere(run: RunRef, outcome: FinishedOutcome): void {
    for (const upstream of this.#upstreams) {
      if (upstream.holds(run)) upstream.end(run, outcome)
    }
  }

  #speedOf(run: RunRef): number {
    return this.#upstreams.find((upstream) => upstream.holds(run))?.speed ?? 1
  }

  #stepOf({ jobId, step }: RunRef) {
    return this.#jobs.get(jobId)?.steps[step]
  }

  #dependenciesAreDone({ jobId, step }: RunRef): boolean {
    const steps = this.#jobs.get(jobId)?.steps ?? []
    return (steps[step]?.dependsOn ?? []).every((number) =>
      Array.from({ length: steps[number]?.taskCount ?? 0 }, (_, index) =>
        taskKey({ jobId, step: number, index }),
      ).every((key) => this.lastDoneRuns.has(key)),
    )
  }
}
