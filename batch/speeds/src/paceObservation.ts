/** The pace of one run, or of one attempt of a gang. */
export interface PaceObservation {
  /** One upstream for a run; those of all members for a gang. */
  readonly upstreamIds: readonly string[]
  readonly step: ObservedStep
  readonly queue: string
  readonly isGang: boolean
  /** Declared run time x progress / time taken, with the progress as a fraction. */
  readonly pace: number
  readonly atMs: number
}

export interface ObservedStep {
  readonly jobId: string
  /** Number of the step within its job. */
  readonly index: number
  readonly taskCount: number
}
