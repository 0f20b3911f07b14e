/**
 * The pauses between searches for a leader. An election takes about a second, and each caller that waits then loses half
 * a pause; what lasts longer is asked about less often. Pauses are drawn, so that the searches of many processes spread.
 * In an outage of 6 s a process with callers searches at most 45 times, its idle looks included: 97 processes cost
 * each member 730 small calls a second at most, answered from memory.
 */
import { electionWindowMs } from './leaderOutage.js'

const electionPauseMs = 150
const longOutagePauseMs = 400
/** Pauses are drawn from this share of their length up to the whole. */
const minPauseShare = 0.6

/** `random` is a number in [0, 1). */
export function drawSearchPauseMs(outageMs: number, random: number): number {
  const lengthMs = outageMs < electionWindowMs ? electionPauseMs : longOutagePauseMs
  return lengthMs * (minPauseShare + (1 - minPauseShare) * random)
}
