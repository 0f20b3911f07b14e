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
  /** Rows of the two lists that could not be read. */
  readonly unreadRows: number
  /** When it was sent, on our clock. */
  readonly sentAtMs: number
}

export interface LookReading {
  /** Ends of placed runs, those included that will never run. */
  readonly ends: readonly RunEnd[]
  /** Runs that would have ended, were it not for rows that could not be read: one of these may be theirs. */
  readonly unlisted: readonly RunTrack[]
  /** No row that could not be read can be the end of a run placed there: all of these are listed. */
  readonly mayAcknowledge: boolean
}

export function readLook(
  look: Look,
  placements: ReadonlyMap<string, Placement>,
  tracks: ReadonlyMap<string, RunTrack>,
): LookReading {
  const isWhole = look.unreadRows === 0
  const seen = new Set([...look.running, ...look.finished].map(({ run }) => runKey(run)))
  const absent = [...placements.keys()].filter((key) => !seen.has(key))
  const settled = absent.flatMap((key) => {
    const track = tracks.get(key)
    return track !== undefined && isSettledBefore(track, look.sentAtMs) ? [track] : []
  })
  const ends = listShownEnds(look, placements)
  const mayAcknowledge = isWhole || absent.length === 0
  if (!isWhole) return { ends, unlisted: settled, mayAcknowledge }
  return { ends: [...ends, ...settled.map(toLost)], unlisted: [], mayAcknowledge }
}

function listShownEnds({ finished }: Look, placements: ReadonlyMap<string, Placement>): RunEnd[] {
  return finished.flatMap(({ run, outcome, checkpoint }) => {
    const placement = placements.get(runKey(run))
    return placement === undefined ? [] : [{ ...placement, outcome: outcomes[outcome], checkpoint }]
  })
}

function toLost({ placement, checkpoint }: RunTrack): RunEnd {
  return { ...placement, outcome: 'lost', checkpoint }
}

/** Under this leader's fence no earlier leader's order is carried out any more. */
function isSettledBefore({ phase, settledAtMs }: RunTrack, sentAtMs: number): boolean {
  return phase === 'inherited' || (phase === 'settled' && settledAtMs < sentAtMs)
}
