/** Whether and how a leader learns the speeds of upstreams during its term. */
import { RecordFaultReporter, type RecordFaultReporterOptions } from './recordFaultReporter.js'
import { reportSpeeds, type ReportSpeedsOptions } from './reportSpeeds.js'
import { SpeedLearner, type SpeedLearnerOptions } from './speedLearner.js'
import { SpeedNotes, type SpeedNotesOptions } from './speedNotes.js'
import type { UpstreamSpeedsMode } from './upstreamSpeedsMode.js'

export interface CreateSpeedLearnerOptions
  extends Omit<SpeedLearnerOptions, 'faults'>, RecordFaultReporterOptions {
  upstreamSpeeds?: UpstreamSpeedsMode | undefined
}

/** Returns undefined if speeds are ignored. */
export function createSpeedLearner(opts: CreateSpeedLearnerOptions): SpeedLearner | undefined {
  if (opts.upstreamSpeeds !== 'learn') return undefined
  return new SpeedLearner({ ...opts, faults: new RecordFaultReporter(opts) })
}

export interface NoteSpeedsOptions
  extends Omit<ReportSpeedsOptions, 'learner'>, Omit<SpeedNotesOptions, 'learner'> {
  /** Undefined if speeds are ignored. */
  learner: SpeedLearner | undefined
}

/** Reports and commits what is learned, until the signal ends the term. */
export async function noteSpeeds({ learner, ...opts }: NoteSpeedsOptions): Promise<void> {
  if (learner === undefined) return
  reportSpeeds({ ...opts, learner })
  await new SpeedNotes({ ...opts, learner }).run()
}
