/** One run of a task as it is played, and how fast it works. */
import type { RunTrack } from '@nettlespur/batch.sessions'
import type { Placement, RunOutcome } from '@nettlespur/batch.state'
import { isWithin, type DayTroubles } from './dayTroubles.js'
import { toMachineId } from './playedProcesses.js'

const slowTimes = 6.5

export interface PlayedRun {
  readonly placement: Placement
  readonly track: RunTrack
  /** From when on it works. */
  readonly startsAtMs: number
  /** Its work on an upstream of the usual pace. */
  readonly lengthMs: number
  /** Of `lengthMs`; what earlier runs saved counts. */
  doneMs: number
  /** Progress before this run, as a share. */
  readonly resumedAt: number
  /** How it ends once it has done this much. */
  readonly outcome: RunOutcome
  readonly endsAtDoneMs: number
  /** It brings its upstream down as it starts. */
  readonly isCrashing: boolean
  stopAtMs: number | undefined
}

/** How fast an upstream works now, against the usual. */
export function measurePace(
  { paces, upstreams }: DayTroubles,
  upstreamId: string,
  nowMs: number,
): number {
  const machineId = toMachineId(upstreamId)
  let pace = paces.get(machineId) ?? 1
  for (const trouble of upstreams) {
    if (!isWithin(trouble, nowMs) || !trouble.upstreamIds.has(machineId)) continue
    if (trouble.kind === 'hanging') pace = 0
    if (trouble.kind === 'slow') pace /= slowTimes
  }
  return pace
}

export function isFailing({ upstreams }: DayTroubles, upstreamId: string, nowMs: number): boolean {
  return upstreams.some((trouble) => {
    if (trouble.kind !== 'failing' || !isWithin(trouble, nowMs)) return false
    return trouble.upstreamIds.has(toMachineId(upstreamId))
  })
}

export function isOver({ doneMs, endsAtDoneMs }: PlayedRun): boolean {
  return doneMs >= endsAtDoneMs
}
