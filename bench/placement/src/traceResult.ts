/** The result of running a trace against one policy. */
import type { TraceJob } from './trace.js'
import type { TraceSamples } from './traceSamples.js'

export interface FinishedJob {
  readonly job: TraceJob
  readonly completionMs: number
  /** From submission to the first start. */
  readonly firstWaitMs: number
}

export interface TraceResult {
  readonly finished: readonly FinishedJob[]
  /** Jobs that ended otherwise: cancelled, failed or lost. */
  readonly endedOtherwise: number
  /** Jobs that still waited at the end. */
  readonly left: number
  readonly preemptions: number
  readonly rounds: number
  readonly samples: TraceSamples
}
