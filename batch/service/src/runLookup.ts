/** What the pace of runs tells: those under way, and those that are done. */
import type { RunTrack } from '@nettlespur/batch.sessions'
import type { BatchState, Placement, RunEnd } from '@nettlespur/batch.state'
import type { SpeedWatch, WatchedRun } from './speedWatch.js'

export interface RunLookup {
  readonly state: BatchState
  readonly findTrack: (placement: Placement) => RunTrack | undefined
}

/** All runs that the leader follows. */
export function listWatchedRuns(lookup: RunLookup): WatchedRun[] {
  const { placements } = lookup.state
  return [...placements.upstreamIds].flatMap((upstreamId) =>
    [...placements.on(upstreamId).values()].flatMap(
      (placement) => watchRun(lookup, placement) ?? [],
    ),
  )
}

/** Ends in `done` of runs that were seen from their beginning to their end. */
export function learnRunTimes(
  speed: SpeedWatch,
  lookup: RunLookup,
  ends: readonly RunEnd[],
  nowMs: number,
): void {
  for (const end of ends) {
    const watched = end.outcome === 'done' ? watchRun(lookup, end) : undefined
    if (watched === undefined || watched.track.isResumed) continue
    speed.noteDone(watched.queue, watched.declaredMs, nowMs - watched.track.startedAtMs)
  }
}

function watchRun({ state, findTrack }: RunLookup, run: Placement): WatchedRun | undefined {
  const track = findTrack(run)
  const job = state.jobs.get(run.jobId)
  const step = job?.request.steps[run.step]
  if (track === undefined || job === undefined || step === undefined) return undefined
  return { track, queue: job.queue.name, declaredMs: step.expectedRunTimeMs }
}
