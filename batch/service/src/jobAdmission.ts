/**
 * Decides whether a job is small enough to be accepted. Every member holds each job in memory until some minutes after its end, and
 * reads all of them anew after a restart: without a limit, what a few callers hand in could end all members, again and again.
 */
import { findSizeFault, type JobRequest } from '@nettlespur/batch.model'
import { measureJobSize, type BatchState } from '@nettlespur/batch.state'
import { NettlespurError } from '@nettlespur/core.errors'

/** In sizes of one task. A member that restarts needs memory for a snapshot and for the state that it reads from it. */
const heldSizeMax = 300_000
/** A job may take this share of what is left, so that large jobs leave room for small ones of other callers. */
const shareOfRestMax = 0.25
/** Room comes back as ended jobs are forgotten. */
const retryAfterMs = 5000

export interface JobAdmissionOptions {
  getState: () => Pick<BatchState, 'jobs' | 'heldSize'>
  /** Waits until a quorum confirms that the state is up to date. Errors: rejects with `no-quorum` and `not-leader`. */
  confirmRead: () => Promise<void>
}

export class JobAdmission {
  readonly #opts: JobAdmissionOptions
  /** Sizes of the jobs that are being proposed, by job id. */
  readonly #proposed = new Map<string, number>()

  constructor(opts: JobAdmissionOptions) {
    this.#opts = opts
  }

  /**
   * Calls `propose` if the job is admitted. One that is stored, or may yet be by an earlier call, is always proposed again: its
   * caller must not be told that it never runs. So a refusal waits for a confirmed read: this member may lead no more, and
   * another leader have stored the job. Errors: `over-limit` and `queue-full`, those of `confirmRead` and of `propose`.
   */
  async propose<T>(request: JobRequest, propose: () => Promise<T>): Promise<T> {
    const { jobId } = request
    if (this.#mayBeStored(jobId)) return propose()
    const refusal = this.#findRefusal(request)
    if (refusal !== undefined) {
      await this.#opts.confirmRead()
      if (this.#mayBeStored(jobId)) return propose()
      throw refusal
    }
    this.#proposed.set(jobId, measureJobSize(request))
    try {
      return await propose()
    } finally {
      this.#proposed.delete(jobId)
    }
  }

  #mayBeStored(jobId: string): boolean {
    return this.#opts.getState().jobs.has(jobId) || this.#proposed.has(jobId)
  }

  /** Returns undefined if the job is small enough. */
  #findRefusal(request: JobRequest): NettlespurError | undefined {
    const fault = findSizeFault(request)
    if (fault !== undefined) return new NettlespurError('over-limit', fault)
    const rest = heldSizeMax - this.#opts.getState().heldSize - this.#sumProposed()
    const size = measureJobSize(request)
    if (size <= rest * shareOfRestMax) return undefined
    const message = `a job of size ${size} is too large while ${rest} of ${heldSizeMax} is left`
    return new NettlespurError('queue-full', message, { retryAfterMs })
  }

  #sumProposed(): number {
    let sum = 0
    for (const size of this.#proposed.values()) sum += size
    return sum
  }
}
