/** Assigns blame for the crash of an upstream among the runs that were placed there. */
import { runKey } from '@nettlespur/batch.model'
import type { CrashBlame, Placement } from '@nettlespur/batch.state'

/** What is known of a run when its upstream crashes. */
export interface CrashedRun {
  readonly placement: Placement
  /** Whether it has been seen running for `provenAfterMs` since its start. */
  readonly isProven: boolean
  /**
   * `not-yet`: the start order is still in flight, and may reach only the restarted upstream.
   * `unknown`: the start order got no answer, or an earlier leader sent it, so that the run may have been at work for long.
   * `seen`: this leader started it.
   */
  readonly start: 'not-yet' | 'unknown' | 'seen'
}

/**
 * Returns the blame of each run, by run key. `isCertain` tells a proven crash from mere silence, which may be a network
 * partition that leaves all runs there intact.
 */
export function blameCrash(
  runs: readonly CrashedRun[],
  isCertain: boolean,
): ReadonlyMap<string, CrashBlame> {
  const started = runs.filter(({ start }) => start !== 'not-yet')
  const hasUnprovenRun = started.some(({ isProven }) => !isProven)
  const assignBlame = ({ isProven, start }: CrashedRun): CrashBlame => {
    if (start === 'not-yet') return 'none'
    // If every started run is proven, any of them may have caused the crash.
    if (isProven) return hasUnprovenRun ? 'none' : 'suspected'
    return isCertain && start === 'seen' ? 'blamed' : 'suspected'
  }
  return new Map(runs.map((run) => [runKey(run.placement), assignBlame(run)]))
}
