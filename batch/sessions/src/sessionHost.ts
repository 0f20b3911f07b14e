/** What a session needs from the leader that owns it. */
import type { RunRef } from '@nettlespur/batch.model'
import type { RunTrack } from './runTrack.js'
import type { UpstreamTarget } from './upstreamPort.js'
import type { JobRecord, Placement, RunEnd, UpstreamRecord } from '@nettlespur/batch.state'

/** A later process answers in place of the one that a session was held with. */
export interface Replacement {
  readonly target: UpstreamTarget
  readonly successorId: string
  /** What was known of the runs placed on `target`, which the successor may have been ordered to start. */
  readonly tracks: readonly RunTrack[]
}

export abstract class SessionHost {
  /** Returns a fencing token above all that this leader has issued, and above those of earlier leaders. */
  abstract issueFence(): number
  abstract findJob(jobId: string): JobRecord | undefined
  abstract findUpstream(upstreamId: string): UpstreamRecord | undefined
  /** Whether the data centre of the upstream is evacuated, so that nothing may start there. */
  abstract isEvacuated(upstreamId: string): boolean
  /** The runs placed on the upstream, or on a process that it has replaced, by run key. */
  abstract listPlacements(upstreamId: string): ReadonlyMap<string, Placement>
  /** Whether the run must be stopped: its job or gang attempt has ended, or it is preempted. */
  abstract shouldStop(placement: Placement): boolean
  /** Called whenever an answer of the upstream shows that a placed run has begun. */
  abstract noteBegun(run: RunRef): void
  /** Commits ends of runs. Resolves to false if that failed; the session then retries. */
  abstract commitEnds(ends: readonly RunEnd[]): Promise<boolean>
  /** Called if a run may not start in time: stops all members of its gang, if it belongs to one. */
  abstract abandonGang(placement: Placement): void
  /**
   * Called as a process answers with its lists: others that had its announced id at its address are gone. Returns false
   * if one of them has runs that may be in these lists and are not passed on yet, so that the lists must not be applied.
   */
  abstract noteAnswered(target: UpstreamTarget, sentAtMs: number): boolean
  /** Passes the runs of a replaced process on to the session with its successor. */
  abstract noteReplaced(replacement: Replacement): void
  /** Called once the upstream's process is gone and all its runs have ended. */
  abstract noteGone(upstreamId: string): void
}
