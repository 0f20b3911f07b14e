/** The gang attempts whose pace was observed: all members report the progress of the gang, which counts once. */
import type { RunRef } from '@nettlespur/batch.model'

export class ObservedGangs {
  /** The latest observed attempt by job id, then by number of the step. */
  readonly #attempts = new Map<string, Map<number, number>>()

  has({ jobId, step, attempt }: RunRef): boolean {
    return (this.#attempts.get(jobId)?.get(step) ?? 0) >= attempt
  }

  add({ jobId, step, attempt }: RunRef): void {
    const ofJob = this.#attempts.get(jobId) ?? new Map<number, number>()
    this.#attempts.set(jobId, ofJob.set(step, attempt))
  }

  keepOnly(hasJob: (jobId: string) => boolean): void {
    for (const jobId of this.#attempts.keys()) if (!hasJob(jobId)) this.#attempts.delete(jobId)
  }
}
