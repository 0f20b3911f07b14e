/** Derives from the answer to one poll which of the placed runs have ended. */
import { runKey } from '@nettlespur/batch.model'
import type { Placement, RunEnd, RunOutcome } from '@nettlespur/batch.state'
import type { RunTrack } from './runTrack.js'
import { endsListedMax } from './sessionOptions.js'
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
  /** Number of rows in the two lists that could not be parsed. */
  readonly unreadRows: number
  /** When the poll was sent, on the leader's clock. */
  readonly sentAtMs: number
}

export interface PollReading {
  /** Reported ends of placed runs. */
  readonly ends: readonly RunEnd[]
  /** Whether the upstream may have more ends than it has listed. */
  readonly mayHaveMoreEnds: boolean
  /** Runs of which neither the run nor its end is listed: they have certainly ended or will never start. */
  readonly absent: readonly RunTrack[]
  /** Such runs that were placed on a process that this one has replaced. */
  readonly crashed: readonly RunTrack[]
  /** Runs that would count as lost, except that one of the unparsable rows may be theirs. */
  readonly unlisted: readonly RunTrack[]
  /** Whether no unparsable row can be the end of a placed run: every row parsed, or every placed run is listed. */
  readonly mayAcknowledge: boolean
}

export function interpretPoll(
  poll: PollResult,
  placements: ReadonlyMap<string, Placement>,
  tracks: ReadonlyMap<string, RunTrack>,
): PollReading {
  const isComplete = poll.unreadRows === 0
  const seen = new Set([...poll.running, ...poll.finished].map(({ run }) => runKey(run)))
  const missing = [...placements.keys()].filter((key) => !seen.has(key))
  const settled = missing.flatMap((key) => {
    const track = tracks.get(key)
    return track !== undefined && isSettledBefore(track, poll.sentAtMs) ? [track] : []
  })
  const ends = listReportedEnds(poll, placements)
  const mayHaveMoreEnds = poll.finished.length + poll.unreadRows >= endsListedMax
  const mayAcknowledge = isComplete || missing.length === 0
  const reading = { ends, mayHaveMoreEnds, mayAcknowledge, absent: [], crashed: [], unlisted: [] }
  if (!isComplete) return { ...reading, unlisted: settled }
  // The end of a missing run may be among those that are listed once these are acknowledged.
  if (mayHaveMoreEnds) return reading
  const crashed = settled.filter(({ phaseBeforeCrash }) => phaseBeforeCrash !== undefined)
  const absent = settled.filter(({ phaseBeforeCrash }) => phaseBeforeCrash === undefined)
  return { ...reading, absent, crashed }
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

/**
 * Whether a run that is missing from the answer has certainly ended or will never start. An inherited run has: once the
 * upstream has seen this session's fence it executes no order of an earlier leader, and with the fence renewed when the
 * run was adopted no order that was meant for the replaced process.
 */
function isSettledBefore(
  { phase, phaseBeforeCrash, settledAtMs }: RunTrack,
  sentAtMs: number,
): boolean {
  if (phase === 'inherited' && phaseBeforeCrash === undefined) return true
  return (phase === 'settled' || phase === 'inherited') && settledAtMs < sentAtMs
}
