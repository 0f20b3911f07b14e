/** Waiting jobs that placement tells can never run, and since when without a break. */
import type { Clock } from '@nettlespur/core.clock'
import type { RoundDecision } from './decideRound.js'

/** Upstreams that restart and operators who mend a contract have this long. */
const refuseAfterMs = 60_000

export class ImpossibleJobs {
  readonly #clock: Clock
  #sinceMs = new Map<string, number>()

  constructor(clock: Clock) {
    this.#clock = clock
  }

  /** The refusals of this round that have lasted long enough. */
  listOverdue(decisions: readonly RoundDecision[]): RoundDecision[] {
    const nowMs = this.#clock.monotonicMs()
    const refused = decisions.filter((decision) => decision.kind === 'refuse')
    this.#sinceMs = new Map(refused.map(({ jobId }) => [jobId, this.#sinceMs.get(jobId) ?? nowMs]))
    return refused.filter(({ jobId }) => {
      return nowMs - (this.#sinceMs.get(jobId) ?? nowMs) >= refuseAfterMs
    })
  }
}
