/**
 * Stops the runs that late ends make superfluous: those that sessions still follow, although they are no longer placed.
 * They are found as the ends take effect, so that a run placed while the ends were being committed is stopped too.
 */
import { runKey } from '@nettlespur/batch.model'
import type { UpstreamSession } from '@nettlespur/batch.sessions'
import { isInUnit, type BatchState, type Command, type Placement } from '@nettlespur/batch.state'

export interface StopSupersededRunsOptions {
  /** The command that has just been applied. */
  command: Command
  state: BatchState
  sessions: Iterable<UpstreamSession>
}

/** Returns the runs that it stops. */
export function stopSupersededRuns({
  command,
  state,
  sessions,
}: StopSupersededRunsOptions): Placement[] {
  if (command.type !== 'end-runs') return []
  const lateEnds = command.ends.filter(({ isLate }) => isLate === true)
  if (lateEnds.length === 0) return []
  const isSuperseded = (run: Placement): boolean =>
    !state.placements.getByUpstream(run.upstreamId).has(runKey(run)) &&
    lateEnds.some((end) => {
      const job = state.jobs.get(end.jobId)
      return job !== undefined && isInUnit(job, end, run)
    })
  return [...sessions].flatMap(({ tracks, stops }) => {
    const followed = [...tracks.byKey.values()].map(({ placement }) => placement)
    const superseded = followed.filter(isSuperseded)
    for (const run of superseded) void stops.stopRemoved(run)
    return superseded
  })
}
