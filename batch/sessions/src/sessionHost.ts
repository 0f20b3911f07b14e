/** What a session needs from the leader that owns it. */
import type { JobRecord, Placement, RunEnd, UpstreamRecord } from '@nettlespur/batch.state'

export abstract class SessionHost {
  /** The leader's term, which is higher than the term of any earlier leader. */
  abstract readonly fence: number
  abstract findJob(jobId: string): JobRecord | undefined
  abstract findUpstream(upstreamId: string): UpstreamRecord | undefined
  /** The runs placed on the upstream, by run key. */
  abstract listPlacements(upstreamId: string): ReadonlyMap<string, Placement>
  /** Whether the run must be stopped: its job or gang attempt has ended, or it is preempted. */
  abstract shouldStop(placement: Placement): boolean
  /** Commits ends of runs. Resolves to false if that failed; the session then retries. */
  abstract commitEnds(ends: readonly RunEnd[]): Promise<boolean>
  /** Called if a run may not start in time: stops all members of its gang, if it belongs to one. */
  abstract abandonGang(placement: Placement): void
  /** Called once the upstream's process is gone and all its runs have ended. */
  abstract noteGone(upstreamId: string): void
}
