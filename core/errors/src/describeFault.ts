/** Describes a fault of the program for a log line: what was thrown, and where. */

/** How much of a stack trace a log line carries. */
const stackLinesMax = 4

export interface FaultFields {
  readonly reason: string
  /** Where it was thrown; absent if that is not known. */
  readonly stack?: string
}

export function describeFault(thrown: unknown): FaultFields {
  if (!(thrown instanceof Error)) return { reason: String(thrown) }
  const reason = `${thrown.name}: ${thrown.message}`
  const calls = (thrown.stack ?? '').split('\n').filter((line) => /^\s+at /.test(line))
  if (calls.length === 0) return { reason }
  const stack = calls
    .slice(0, stackLinesMax)
    .map((line) => line.trim())
    .join(' ')
  return { reason, stack }
}
