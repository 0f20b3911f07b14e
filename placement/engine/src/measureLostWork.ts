/** What stopping a running gang would lose, and how long it may still run. */
import type { RunningGang } from '@nettlespur/placement.topology'

/** Time a checkpoint takes, and time a stopped job takes to get going again; both rough. */
const checkpointMs = 15_000
const restartMs = 15_000

/**
 * Accelerator time in milliseconds. It grows with each attempt, so that no job is stopped for ever; what
 * stops anyway loses nothing more.
 */
export function measureLostWork(gang: RunningGang, nowMs: number): number {
  if (gang.isStopping || gang.startedAtMs === undefined) return 0
  const ranMs = Math.max(0, nowMs - gang.startedAtMs)
  const lostMs = gang.stoppability === 'checkpoint' ? Math.min(checkpointMs, ranMs) : ranMs
  return gang.gang.accelerators * (lostMs + restartMs) * Math.max(1, gang.attempts)
}

/** A gang that has outrun what was expected of it is taken to be half done. */
export function estimateRemainingMs(gang: RunningGang, nowMs: number): number {
  if (gang.isStopping) return 0
  const ranMs = Math.max(0, nowMs - (gang.startedAtMs ?? nowMs))
  const leftMs = gang.expectedRunTimeMs - ranMs
  return leftMs > 0 ? leftMs : ranMs
}
