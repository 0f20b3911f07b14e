/** Runs each placed gang in an asynchronous task of its own for as long as this instance leads. */
import { setMaxListeners } from 'node:events'
import type { Placement } from '@nettlespur/api.schemas'
import type { JobRecord } from '@nettlespur/control.state'
import { toNettlespurError } from '@nettlespur/core.errors'
import { BehaviorSubject } from 'rxjs'
import { EndedGangLog } from './endedGangLog.js'
import type { GangOptions } from './gangOptions.js'
import { GangRunner, type GangContext } from './gangRunner.js'
import { RetryBudget } from './retryBudget.js'

const pauseAfterFaultMs = 1000

interface RunningGang {
  readonly ended: Promise<void>
  readonly wake: BehaviorSubject<number>
  readonly placement: Placement
}

export class GangManager {
  readonly #opts: GangOptions
  readonly #stopping = new AbortController()
  readonly #running = new Map<string, RunningGang>()
  /** Keyed by job id and by task id, so that a change wakes its gang without a search of all gangs. */
  readonly #wakes = new Map<string, BehaviorSubject<number>>()
  readonly #retries: RetryBudget
  readonly #endedLog: EndedGangLog

  constructor(opts: GangOptions) {
    this.#opts = opts
    // Each gang adds a listener, so Node's warning about a listener leak does not apply.
    setMaxListeners(0, this.#stopping.signal)
    this.#retries = new RetryBudget(opts.clock)
    this.#endedLog = new EndedGangLog(opts.clock, opts.logger)
    const subscriptions = [
      opts.holder.jobChanges.subscribe((job) => {
        incrementWake(this.#wakes.get(job.jobId))
      }),
      opts.taskReports.subscribe(({ taskId, state }) => {
        if (state !== 'running') incrementWake(this.#wakes.get(taskId))
      }),
      opts.upstreamChanges.subscribe((upstreamId) => {
        this.#wakeGangsOn(upstreamId)
      }),
    ]
    this.#stopping.signal.addEventListener('abort', () => {
      for (const subscription of subscriptions) subscription.unsubscribe()
    })
  }

  /** Number of gangs that are being run. */
  get size(): number {
    return this.#running.size
  }

  /** Runs a newly placed gang. */
  start(job: JobRecord): void {
    this.#runGang(job, (runner) => runner.run(job))
  }

  /**
   * Takes over every placed gang in the state that has no runner here, because another leader placed it, its
   * runner failed, or the result of the command that placed it was lost. Called in each placement round.
   */
  recover(): void {
    for (const job of this.#opts.holder.state.listLiveJobs()) {
      this.#runGang(job, (runner) => runner.resume(job))
    }
  }

  /** Ends all runners without stopping their gangs; the next leader takes the gangs over. */
  async stop(): Promise<void> {
    this.#stopping.abort()
    await Promise.all([...this.#running.values()].map((gang) => gang.ended))
  }

  #runGang(job: JobRecord, run: (runner: GangRunner) => Promise<void>): void {
    const { placement, jobId } = job
    if (placement === undefined || this.#isStopping()) return
    const name = `${jobId}/${placement.fence}`
    if (this.#running.has(name)) return
    const wake = new BehaviorSubject(0)
    const wakeNames = [jobId, ...placement.members.map((member) => member.taskId)]
    for (const wakeName of wakeNames) this.#wakes.set(wakeName, wake)
    const runner = new GangRunner(this.#createContext(wake), job, placement)
    const ended = run(runner)
      .catch((thrown: unknown) => this.#pauseAfterFault(jobId, placement.fence, thrown))
      .finally(() => {
        this.#running.delete(name)
        for (const wakeName of wakeNames) {
          if (this.#wakes.get(wakeName) === wake) this.#wakes.delete(wakeName)
        }
      })
    this.#running.set(name, { ended, wake, placement })
  }

  #wakeGangsOn(upstreamId: string): void {
    for (const { wake, placement } of this.#running.values()) {
      if (placement.members.some((member) => member.upstreamId === upstreamId)) incrementWake(wake)
    }
  }

  #createContext(wake: BehaviorSubject<number>): GangContext {
    const { signal } = this.#stopping
    return { opts: this.#opts, retries: this.#retries, endedLog: this.#endedLog, wake, signal }
  }

  /** Logs an unexpected failure and waits; after that, the next `recover` takes the gang over. */
  async #pauseAfterFault(jobId: string, fence: number, thrown: unknown): Promise<void> {
    if (this.#isStopping()) return
    const reason = toNettlespurError(thrown).message
    this.#opts.logger.error({ event: 'gang.task-failed', jobId, fence, reason })
    await this.#opts.clock.sleep(pauseAfterFaultMs, this.#stopping.signal)
  }

  #isStopping(): boolean {
    return this.#stopping.signal.aborted
  }
}

function incrementWake(wake: BehaviorSubject<number> | undefined): void {
  wake?.next(wake.value + 1)
}
