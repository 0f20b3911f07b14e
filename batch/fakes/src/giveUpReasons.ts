/** Decides which jobs may be given up, from how often their tasks and gangs failed or were lost in upstream crashes. */
import { taskKey, type RunRef } from '@nettlespur/batch.model'

/** Crashes of one task's upstreams after which its job may be given up, as agreed with the users. */
const crashesMin = 2

export class GiveUpReasons {
  readonly #failures = new Map<string, number>()
  readonly #crashes = new Map<string, number>()
  readonly #jobs = new Set<string>()
  readonly #attemptsMax: number

  /** `attemptsMax` is that of the queue of the jobs. */
  constructor(attemptsMax: number) {
    this.#attemptsMax = attemptsMax
  }

  noteFailure(run: RunRef, isGang: boolean): void {
    this.#count(this.#failures, run, { isGang, limit: this.#attemptsMax })
  }

  /** Unlike failures, crashes are counted for each member of a gang separately. */
  noteCrash(run: RunRef): void {
    this.#count(this.#crashes, run, { isGang: false, limit: crashesMin })
  }

  canBeGivenUp(jobId: string): boolean {
    return this.#jobs.has(jobId)
  }

  #count(
    counts: Map<string, number>,
    run: RunRef,
    { isGang, limit }: { isGang: boolean; limit: number },
  ): void {
    const key = isGang ? `${run.jobId}/${run.step}` : taskKey(run)
    const count = (counts.get(key) ?? 0) + 1
    counts.set(key, count)
    if (count >= limit) this.#jobs.add(run.jobId)
  }
}
