/** One thing that is wrong in a YAML file: where it stands, what was given and what is allowed. */
export interface SettingsFault {
  /** `timings.heartbeatMs`, `members[0].peerAddress`, or empty for the whole file. */
  readonly path: string
  /** Counts from 1. A missing field has the line of the mapping that lacks it. */
  readonly line: number
  readonly problem: string
  /** As it stands in the file, cut where long; absent for a missing field. */
  readonly given?: string
  readonly allowed?: string
}

/** `FILE:LINE: PATH: PROBLEM, given GIVEN; allowed: ALLOWED`. */
export function formatFault(file: string, fault: SettingsFault): string {
  const path = fault.path === '' ? '' : `${fault.path}: `
  const given = fault.given === undefined ? '' : `, given ${fault.given}`
  const allowed = fault.allowed === undefined ? '' : `; allowed: ${fault.allowed}`
  return `${file}:${fault.line}: ${path}${fault.problem}${given}${allowed}`
}
