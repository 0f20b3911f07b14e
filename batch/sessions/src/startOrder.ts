/** Gives one start, again where no answer comes, and says what is known then. */
import type { Clock } from '@nettlespur/core.clock'
import { toNettlespurError } from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'
import type { Placement } from '@nettlespur/batch.state'
import type { LeaseTracker } from './leaseTracker.js'
import { orderTimeoutMs, startTriesMax } from './sessionOptions.js'
import type { StartAnswer, UpstreamPort, UpstreamTarget } from './upstreamPort.js'

export interface GiveStartOptions {
  port: UpstreamPort
  target: UpstreamTarget
  placement: Placement
  payload: string
  checkpoint: string
  fence: number
  lease: LeaseTracker
  clock: Clock
  logger: Logger
}

/** `in-doubt`: it may have been carried out, or may still be. `not-sent`: it surely never will. */
export type StartResult = StartAnswer | { readonly type: 'in-doubt' | 'not-sent' }

export async function giveStart(opts: GiveStartOptions): Promise<StartResult> {
  const { port, target, placement, payload, checkpoint, fence, lease, clock, logger } = opts
  let mayHaveArrived = false
  for (let tries = 1; tries <= startTriesMax; tries++) {
    const leaseEndMs = lease.extend(clock.monotonicMs())
    const order = { run: placement, payload, checkpoint, leaseEndMs, fence }
    try {
      const answer = await port.start(target, order, orderTimeoutMs)
      return mayHaveArrived && answer.type === 'refused' ? { type: 'in-doubt' } : answer
    } catch (thrown) {
      const error = toNettlespurError(thrown)
      mayHaveArrived ||= error.kind !== 'unreachable'
      logger.warn({
        event: 'run.start-unanswered',
        jobId: placement.jobId,
        step: placement.step,
        index: placement.index,
        attempt: placement.attempt,
        upstreamId: target.upstreamId,
        tries,
        reason: error.message,
      })
    }
  }
  return { type: mayHaveArrived ? 'in-doubt' : 'not-sent' }
}
