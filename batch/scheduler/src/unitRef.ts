/** Names a unit of scheduling: a step of a job. */

export interface UnitRef {
  readonly jobId: string
  readonly step: number
}

export function unitKey({ jobId, step }: UnitRef): string {
  return `${jobId}/${step}`
}
