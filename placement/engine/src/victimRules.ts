/** Decides which running gangs may be stopped for which waiting job. */
import type { RunningGang, UpstreamCapacity } from '@nettlespur/placement.topology'
import type { WaitingJob } from './placementView.js'

/** The right by which a job may preempt others. */
export type Claim = 'guaranteed' | 'urgent' | 'forming'

export interface VictimRulesOptions {
  /** Number of accelerators of the largest upstream; bounds the size of gangs that others may preempt. */
  readonly largestUpstreamSize: number
  /** Gangs that run within their workspace's guarantee. */
  readonly protectedGangs: ReadonlySet<RunningGang>
  /** Gangs that this round places. */
  readonly placedNow: ReadonlySet<RunningGang>
  /** Gangs that this round stops. */
  readonly stoppedNow: ReadonlySet<RunningGang>
}

/** A gang is stopped for a forming block only if the waiting gang is at least this many times as large. */
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

  /** Whether this job may start on a forming block, as small enough to be stopped for the waiting gang. */
  mayBackfill({ stoppability, gang }: WaitingJob): boolean {
    const { largestUpstreamSize } = this.#opts
    return stoppability !== 'never' && gang.accelerators * formingSizeRatio <= largestUpstreamSize
  }

  /** Whether `job` may use this accelerator once its current holder has stopped. */
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
