/** What a session asks of the leader it works for. */
import type { JobRecord, Placement, RunEnd, UpstreamRecord } from '@nettlespur/batch.state'

export abstract class SessionHost {
  /** The leader's term: higher than that of any leader before. */
  abstract readonly fence: number
  abstract findJob(jobId: string): JobRecord | undefined
  abstract findUpstream(upstreamId: string): UpstreamRecord | undefined
  /** By run key. */
  abstract listPlacements(upstreamId: string): ReadonlyMap<string, Placement>
  /** Whether the run is to be stopped: its job or gang is over, or others need its room. */
  abstract shouldStop(placement: Placement): boolean
  /** Commits ends. Resolves to false where that failed: the session tries again. */
  abstract commitEnds(ends: readonly RunEnd[]): Promise<boolean>
  /** A member of a gang may not start in time: stops the others. */
  abstract abandonGang(placement: Placement): void
  /** This life of the upstream is over. */
  abstract noteGone(upstreamId: string): void
}
