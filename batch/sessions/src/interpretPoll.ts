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

export interface PollResult {
  readonly running: readonly RunningRun[]
  readonly finished: readonly FinishedRun[]
  /** Rows of the two lists that could not be read. */
  readonly unreadRows: number
  /** When it was sent, on our clock. */
  readonly sentAtMs: number
}

export interface PollReading {
  /** Ends of placed runs, those included that will never run. */
  readonly ends: readonly RunEnd[]
  /** Runs that would have ended, were it not for rows that could not be read: one of these may be theirs. */
  readonly unlisted: readonly RunTrack[]
  /** No row that could not be read can be the end of a run placed there: all of these are listed. */
  readonly mayAcknowledge: boolean
}

export function interpretPoll(
  poll: PollResult,
  placements: ReadonlyMap<string, Placement>,
  tracks: ReadonlyMap<string, RunTrack>,
): PollReading {
  const isComplete = poll.unreadRows === 0
  const seen = new Set([...poll.running, ...poll.finished].map(({ run }) => runKey(run)))
  const absent = [...placements.keys()].filter((key) => !seen.has(key))
  const settled = absent.flatMap((key) => {
    const track = tracks.get(key)
    return track !== undefined && isSettledBefore(track, poll.sentAtMs) ? [track] : []
  })
  const ends = listReportedEnds(poll, placements)
  const mayAcknowledge = isComplete || absent.length === 0
  if (!isComplete) return { ends, unlisted: settled, mayAcknowledge }
  return { ends: [...ends, ...settled.map(toLostEnd)], unlisted: [], mayAcknowledge }
}

function listReportedEnds(
  { finished }: PollResult,
  placements: ReadonlyMap<string, Placement>,
): RunEnd[] {
  return finished.flatMap(({ run, outcome, checkpoint }) => {
    const placement = placements.get(runKey(run))
    return placement === undefined ? [] : [{ ...placement, outcome: outcomes[outcome], checkpoint }]
  })
}

function toLostEnd({ placement, checkpoint }: RunTrack): RunEnd {
  return { ...placement, outcome: 'lost', checkpoint }
}

/** Under this leader's fence no earlier leader's order is carried out any more. */
function isSettledBefore({ phase, settledAtMs }: RunTrack, sentAtMs: number): boolean {
  return phase === 'inherited' || (phase === 'settled' && settledAtMs < sentAtMs)
}
