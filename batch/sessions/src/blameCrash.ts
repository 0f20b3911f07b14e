/** Who may have brought an upstream down, of all that was placed there. */
import { runKey } from '@nettlespur/batch.model'
import type { CrashBlame, Placement } from '@nettlespur/batch.state'

/** What is known of a run when its upstream crashes. */
export interface CrashedRun {
  readonly placement: Placement
  /** It had been seen at work for a while. */
  readonly isProven: boolean
  /**
   * `no`: the order to start it is still on its way, and the next life of the upstream may be the one to get it.
   * `unknown`: the order got no answer.
   */
  readonly hasStarted: 'no' | 'unknown' | 'yes'
}

/**
 * By run key. `isCertain`: the upstream surely crashed; one that is only silent may be cut off, with all that runs there well.
 */
export function blameCrash(
  runs: readonly CrashedRun[],
  isCertain: boolean,
): ReadonlyMap<string, CrashBlame> {
  const started = runs.filter(({ hasStarted }) => hasStarted !== 'no')
  const hasUnprovenRun = started.some(({ isProven }) => !isProven)
  const assignBlame = ({ isProven, hasStarted }: CrashedRun): CrashBlame => {
    if (hasStarted === 'no') return 'none'
    // Where all have been at work for a while, any of them may have done it.
    if (isProven) return hasUnprovenRun ? 'none' : 'suspected'
    return isCertain && hasStarted === 'yes' ? 'blamed' : 'suspected'
  }
  return new Map(runs.map((run) => [runKey(run.placement), assignBlame(run)]))
}
