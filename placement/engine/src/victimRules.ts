/** Which running gangs may be stopped for which waiting job. */
import type { RunningGang, UpstreamCapacity } from '@nettlespur/placement.topology'
import type { WaitingJob } from './placementView.js'

/** Why a job may reclaim accelerators. */
export type Claim = 'guaranteed' | 'urgent' | 'forming'

export interface VictimRulesOptions {
  /** Gangs of this many accelerators or more make no room for larger ones. */
  readonly largestUpstreamSize: number
  /** Gangs that run within what is guaranteed to their workspace. */
  readonly protectedGangs: ReadonlySet<RunningGang>
  /** Gangs placed in this very round. */
  readonly placedNow: ReadonlySet<RunningGang>
  /** Gangs that this round stops. */
  readonly stoppedNow: ReadonlySet<RunningGang>
}

/** A gang makes room only for one at least so many times as large. */
const formingSizeRatio = 2

export class VictimRules {
  readonly #opts: VictimRulesOptions

  constructor(opts: VictimRulesOptions) {
    this.#opts = opts
  }

  isStopping(gang: RunningGang): boolean {
    return gang.isStopping || this.#opts.stoppedNow.has(gang)
  }

  canStop(gang: RunningGang, job: WaitingJob, claim: Claim): boolean {
    const { placedNow, protectedGangs, largestUpstreamSize: largest } = this.#opts
    if (this.isStopping(gang)) return true
    if (gang.stoppability === 'never' || placedNow.has(gang)) return false
    const isOwn = gang.workspace === job.workspace
    switch (claim) {
      case 'guaranteed':
        return !isOwn
      case 'urgent':
        return gang.urgency !== 'urgent' && (isOwn || !protectedGangs.has(gang))
      case 'forming':
        return (
          gang.urgency !== 'urgent' &&
          gang.gang.accelerators * formingSizeRatio <= Math.min(job.gang.accelerators, largest) &&
          (isOwn || !protectedGangs.has(gang))
        )
    }
  }

  /** Whether any gang that a block forms for may stop this job again. */
  mayBackfill({ stoppability, gang }: WaitingJob): boolean {
    const { largestUpstreamSize } = this.#opts
    return stoppability !== 'never' && gang.accelerators * formingSizeRatio <= largestUpstreamSize
  }

  /** Whether `job` may hold this accelerator once its holder is gone. */
  isAvailableTo(upstream: UpstreamCapacity, index: number, job: WaitingJob, claim: Claim): boolean {
    if (job.avoidedUpstreamIds?.has(upstream.upstreamId) === true) return false
    const promisedTo = upstream.promisedTo[index]
    if (promisedTo !== undefined && promisedTo !== job.jobId) return false
    const reservedFor = upstream.reservedFor[index]
    if (claim === 'guaranteed') return reservedFor === job.workspace
    const isReservedForOthers = reservedFor !== undefined && reservedFor !== job.workspace
    if (isReservedForOthers && job.stoppability === 'never') return false
    const formingFor = upstream.formingFor[index]
    if (formingFor === undefined || formingFor === job.jobId) return true
    return claim === 'urgent' && job.stoppability !== 'never'
  }
}
