/** What one look at an upstream means for the runs that are placed there. */
import { runKey } from '@nettlespur/batch.model'
import type { Placement, RunEnd, RunOutcome } from '@nettlespur/batch.state'
import type { RunTrack } from './runTrack.js'
import type { FinishedOutcome, FinishedRun, RunningRun } from './upstreamPort.js'

const outcomes: Readonly<Record<FinishedOutcome, RunOutcome>> = {
  done: 'done',
  failed: 'failed',
  stopped: 'stopped',
  lapsed: 'lost',
  broken: 'broken',
  alone: 'broken',
}

export interface Look {
  readonly running: readonly RunningRun[]
  readonly finished: readonly FinishedRun[]
  /** When it was sent, on our clock. */
  readonly sentAtMs: number
}

/** Ends of placed runs that the look shows, those included that will never run. */
export function listEnds(
  look: Look,
  placements: ReadonlyMap<string, Placement>,
  tracks: ReadonlyMap<string, RunTrack>,
): RunEnd[] {
  const ends: RunEnd[] = []
  const seen = new Set(look.running.map(({ run }) => runKey(run)))
  for (const { run, outcome, checkpoint } of look.finished) {
    const placement = placements.get(runKey(run))
    seen.add(runKey(run))
    if (placement !== undefined) {
      ends.push({ ...placement, outcome: outcomes[outcome], checkpoint })
    }
  }
  for (const [key, placement] of placements) {
    const track = tracks.get(key)
    if (!seen.has(key) && track !== undefined && isSettledBefore(track, look.sentAtMs)) {
      ends.push({ ...placement, outcome: 'lost', checkpoint: track.checkpoint })
    }
  }
  return ends
}

/** Under this leader's fence no earlier leader's order is carried out any more. */
function isSettledBefore({ phase, settledAtMs }: RunTrack, sentAtMs: number): boolean {
  return phase === 'inherited' || (phase === 'settled' && settledAtMs < sentAtMs)
}
