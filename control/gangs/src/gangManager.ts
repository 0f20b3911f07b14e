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

  /**
   * Takes over every placed gang of the state that is not run here: another leader placed it, its own task
   * failed, or it was placed by a command whose answer was lost. Called often.
   */
  recover(): void {
    for (const job of this.#opts.holder.state.listLiveJobs()) {
      this.#own(job, (runner) => runner.resume(job))
    }
  }

  /** Lets go of all gangs without stopping them; their tasks go on under the next leader. */
  async stop(): Promise<void> {
    this.#stopping.abort()
    await Promise.all(this.#running.values())
  }

  #own(job: JobRecord, run: (runner: GangRunner) => Promise<void>): void {
    const { placement, jobId } = job
    if (placement === undefined || this.#mustStop()) return
    const name = `${jobId}/${placement.fence}`
    if (this.#running.has(name)) return
    const runner = new GangRunner(this.#opts, job, placement, this.#stopping.signal)
    const ended = run(runner)
      .catch((thrown: unknown) => this.#pauseAfterFault(jobId, placement.fence, thrown))
      .finally(() => this.#running.delete(name))
    this.#running.set(name, ended)
  }

  /** An unforeseen failure leaves the gang to the next `recover`, after a pause. */
  async #pauseAfterFault(jobId: string, fence: number, thrown: unknown): Promise<void> {
    if (this.#mustStop()) return
    const reason = toNettlespurError(thrown).message
    this.#opts.logger.error({ event: 'gang.task-failed', jobId, fence, reason })
    await this.#opts.clock.sleep(resumeAfterMs, this.#stopping.signal)
  }

  #mustStop(): boolean {
    return this.#stopping.signal.aborted
  }
}
