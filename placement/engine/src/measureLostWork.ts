/** Estimates the work lost by stopping a running gang, and its remaining run time. */
import type { RunningGang } from '@nettlespur/placement.topology'

/** Rough estimates of the time to take a checkpoint, and to restart a stopped job. */
const checkpointMs = 15_000
const restartMs = 15_000

/**
 * Returns the lost accelerator time in milliseconds. It is multiplied by the number of attempts, so that no
 * job is preempted again and again. A gang that is already stopping loses nothing more.
 */
export function measureLostWork(gang: RunningGang, nowMs: number): number {
  if (gang.isStopping || gang.startedAtMs === undefined) return 0
  const ranMs = Math.max(0, nowMs - gang.startedAtMs)
  const lostMs = gang.stoppability === 'checkpoint' ? Math.min(checkpointMs, ranMs) : ranMs
  return gang.gang.accelerators * (lostMs + restartMs) * Math.max(1, gang.attempts)
}

/** A gang that has exceeded its expected run time is assumed to be half done. */
export function estimateRemainingMs(gang: RunningGang, nowMs: number): number {
  if (gang.isStopping) return 0
  const ranMs = Math.max(0, nowMs - (gang.startedAtMs ?? nowMs))
  const leftMs = gang.expectedRunTimeMs - ranMs
  return leftMs > 0 ? leftMs : ranMs
}
