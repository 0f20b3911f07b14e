/** What speaks for giving jobs up: how often their tasks and gangs failed, and went down with their upstreams. */
import { taskKey, type RunRef } from '@nettlespur/batch.model'

/** Agreed with the users. */
const crashesMin = 2

export class GiveUpReasons {
  readonly #failures = new Map<string, number>()
  readonly #crashes = new Map<string, number>()
  readonly #jobs = new Set<string>()
  readonly #attemptsMax: number

  /** `attemptsMax`: as the queue of the jobs says. */
  constructor(attemptsMax: number) {
    this.#attemptsMax = attemptsMax
  }

  noteFailure(run: RunRef, isGang: boolean): void {
    this.#count(this.#failures, run, { isGang, limit: this.#attemptsMax })
  }

  /** Members of a gang count each by itself. */
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
