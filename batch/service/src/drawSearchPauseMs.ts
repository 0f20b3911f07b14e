/**
 * The pauses between searches for a leader. During an election, which takes about a second, a waiting caller loses half a
 * pause on average, so pauses are short; in a longer outage they are longer. They are random, so that the searches of
 * many processes do not coincide. The lengths bound the load on the members: a process with waiting callers searches at
 * most 45 times in an outage of 6 s, its idle checks included, so 97 processes send each member at most 730 small calls a
 * second, which it answers from memory.
 */
import { electionWindowMs } from './leaderOutage.js'

const electionPauseMs = 150
const longOutagePauseMs = 400
/** A pause is a random share of its full length: from this one up to the whole. */
const minPauseShare = 0.6

/** `random` is a number in [0, 1). */
export function drawSearchPauseMs(outageMs: number, random: number): number {
  const lengthMs = outageMs < electionWindowMs ? electionPauseMs : longOutagePauseMs
  return lengthMs * (minPauseShare + (1 - minPauseShare) * random)
}
