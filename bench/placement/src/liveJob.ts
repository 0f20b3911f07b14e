/** A job of a trace run that has been submitted and has not ended. */
import type { RunningGang } from '@nettlespur/placement.topology'
import type { TraceJob } from './trace.js'

export interface LiveJob {
  readonly job: TraceJob
  queuedAtMs: number
  retryAtMs: number
  attempts: number
  /** Run time done and kept by a checkpoint. */
  doneMs: number
  gang?: RunningGang & { readonly endMs: number; readonly fails: boolean }
  stopAtMs?: number
  firstStartMs?: number
}
