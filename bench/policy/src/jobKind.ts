/** A kind of job as the users of a deployment describe it. */

/** Spreads are standard deviations of the logarithm. */
export interface JobKind {
  readonly name: string
  readonly priority: number
  readonly jobsPerSecond: number
  /** What a job of mean size earns in time, and when it is late. */
  readonly worth: number
  readonly lateWorth: number
  readonly stretch: number
  readonly targetLatencyMs: number
  readonly runTime: { readonly meanMs: number; readonly spread: number; readonly maxMs: number }
  readonly tasks: { readonly mean: number; readonly max: number }
  readonly cpuMillicores: number
  readonly memoryMiB: number
  /** One is drawn for each job. */
  readonly accelerators: readonly number[]
  readonly isGang: boolean
  /** Shares of jobs that want one rack, that save checkpoints, and that have a second step. */
  readonly oneRackShare: number
  readonly checkpointShare: number
  readonly secondStepShare: number
  /** Share of runs that fail by their own fault. */
  readonly failingShare: number
  /** Whether `failingShare` counts an attempt of a gang as one run; each member is one by default. */
  readonly failsAsGang?: boolean
  /** Declared run times are off by about this share. */
  readonly declaredSpread: number
  /** Share of jobs whose run time is a multiple of the usual, which their declared run time does not tell; none by default. */
  readonly stragglers?: { readonly share: number; readonly times: number }
  /** Variation of run times between the single tasks of a step; none by default. The members of a gang end together. */
  readonly taskSpread?: number
  /** Share of jobs that name the rack where their data is; none by default. */
  readonly dataRackShare?: number
}
