/** Tracks for how long placement has continuously found that a waiting job can never run. */
import type { Clock } from '@nettlespur/core.clock'
import type { RoundDecision } from './decideRound.js'

/** Leaves time for upstreams to restart and for operators to correct a contract. */
const refuseAfterMs = 60_000

export class ImpossibleJobs {
  readonly #clock: Clock
  #sinceMs = new Map<string, number>()

  constructor(clock: Clock) {
    this.#clock = clock
  }

  /** Returns the refusals of this round that have persisted for `refuseAfterMs`. */
  listOverdue(decisions: readonly RoundDecision[]): RoundDecision[] {
    const nowMs = this.#clock.monotonicMs()
    const refused = decisions.filter((decision) => decision.kind === 'refuse')
    this.#sinceMs = new Map(refused.map(({ jobId }) => [jobId, this.#sinceMs.get(jobId) ?? nowMs]))
    return refused.filter(({ jobId }) => {
      return nowMs - (this.#sinceMs.get(jobId) ?? nowMs) >= refuseAfterMs
    })
  }
}
