/** Adds a duration to a time stamp. Both are of the replicated state, so that every member computes the same result. */

/** The last time whose year has four digits, which is as far as stored time stamps go. */
const latestTimeMs = Date.UTC(9999, 11, 31, 23, 59, 59, 999)

/** Returns `latestTimeMs` if the sum lies beyond it. */
export function addMs(at: string, durationMs: number): string {
  return new Date(Math.min(Date.parse(at) + durationMs, latestTimeMs)).toISOString()
}
