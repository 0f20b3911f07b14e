/** One task for each placed gang, for as long as this instance leads. */
import type { JobRecord } from '@nettlespur/control.state'
import { toNettlespurError } from '@nettlespur/core.errors'
import type { GangOptions } from './gangOptions.js'
import { GangRunner } from './gangRunner.js'

const resumeAfterMs = 1000

export class GangManager {
  readonly #opts: GangOptions
  readonly #stopping = new AbortController()
  readonly #running = new Map<string, Promise<void>>()

  constructor(opts: GangOptions) {
    this.#opts = opts
  }

  /** Gangs that are being run. */
  get size(): number {
    return this.#running.size
  }

  /** Runs a gang that was placed just now. */
  start(job: JobRecord): void {
    this.#own(job, (runner) => runner.run(job))
  }

  /** Takes over every placed gang of the state, when this instance has become leader. */
  recover(): void {
    for (const job of this.#opts.holder.state.listLiveJobs()) this.#resume(job)
  }

  /** Lets go of all gangs without stopping them; their tasks go on under the next leader. */
  async stop(): Promise<void> {
    this.#stopping.abort()
    await Promise.all(this.#running.values())
  }

  #resume(job: JobRecord): void {
    this.#own(job, (runner) => runner.resume(job))
  }

  #own(job: JobRecord, run: (runner: GangRunner) => Promise<void>): void {
    const { placement, jobId } = job
    if (placement === undefined || this.#mustStop()) return
    const runner = new GangRunner(this.#opts, job, placement, this.#stopping.signal)
    const name = `${jobId}/${placement.fence}`
    const ended = run(runner)
      .catch((thrown: unknown) => this.#recoverFrom(jobId, placement.fence, thrown))
      .finally(() => this.#running.delete(name))
    this.#running.set(name, ended)
  }

  /** An unforeseen failure must not leave a gang alone: it is taken over like a former leader's. */
  async #recoverFrom(jobId: string, fence: number, thrown: unknown): Promise<void> {
    const { clock, logger, holder } = this.#opts
    if (this.#mustStop()) return
    const reason = toNettlespurError(thrown).message
    logger.error({ event: 'gang.task-failed', jobId, fence, reason })
    await clock.sleep(resumeAfterMs, this.#stopping.signal)
    const job = holder.state.getLiveJob(jobId)
    if (job?.placement?.fence !== fence || this.#mustStop()) return
    const runner = new GangRunner(this.#opts, job, job.placement, this.#stopping.signal)
    await runner.resume(job).catch((again: unknown) => this.#recoverFrom(jobId, fence, again))
  }

  #mustStop(): boolean {
    return this.#stopping.signal.aborted
  }
}
