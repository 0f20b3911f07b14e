/** Logs what a new leader has inherited from earlier ones. */
import type { BatchState } from '@nettlespur/batch.state'
import type { Logger } from '@nettlespur/core.logger'

export interface LogTakeoverOptions {
  logger: Logger
  term: number
  state: BatchState
}

export function logTakeover({ logger, term, state }: LogTakeoverOptions): void {
  const { upstreams, unsettled, placements, evacuations, speeds } = state
  logger.info({
    event: 'leader.started',
    term,
    inheritedUpstreams: [...placements.upstreamIds].length,
    upstreams: upstreams.size,
    unsettledJobs: unsettled.size,
    evacuated: evacuations.listInForce(),
    speeds: speeds.size,
  })
}
