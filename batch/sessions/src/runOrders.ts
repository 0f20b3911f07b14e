/** Sends start and stop orders to one upstream, and returns what is known about each order afterwards. */
import { runFields, runKey, type RunRef } from '@nettlespur/batch.model'
import type { Placement } from '@nettlespur/batch.state'
import type { Clock } from '@nettlespur/core.clock'
import { toNettlespurError } from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'
import type { CallAnswers } from './callAnswers.js'
import type { LeaseTracker } from './leaseTracker.js'
import type { SessionFence } from './sessionFence.js'
import type { SessionHost } from './sessionHost.js'
import { orderTimeoutMs, startTriesMax } from './sessionOptions.js'
import type { StartAnswer, StopAnswer, UpstreamPort, UpstreamTarget } from './upstreamPort.js'

export interface RunOrdersOptions {
  target: UpstreamTarget
  port: UpstreamPort
  host: SessionHost
  fence: SessionFence
  clock: Clock
  logger: Logger
  lease: LeaseTracker
  answers: CallAnswers
}

/**
 * - `in-doubt`: the order may have been executed or may yet be.
 * - `not-sent`: it certainly never reached the upstream.
 * - `evacuated`: it was not sent, as the data centre of the upstream is evacuated.
 */
export type StartResult = StartAnswer | { readonly type: 'in-doubt' | 'not-sent' | 'evacuated' }

export class RunOrders {
  readonly #opts: RunOrdersOptions

  constructor(opts: RunOrdersOptions) {
    this.#opts = opts
  }

  /**
   * Sends a start order, and sends it again if no answer comes; but never to an upstream that is evacuated by then, nor
   * for a run that is no longer placed, as its task may be done.
   */
  async start(placement: Placement): Promise<StartResult> {
    const result = await this.#tryToStart(placement)
    const reason = result.type === 'refused' ? result.reason : undefined
    this.#log('run.start', placement, { answer: result.type, reason })
    return result
  }

  /** Returns undefined if no answer came. */
  async stop(run: RunRef): Promise<StopAnswer | undefined> {
    const { port, target, fence } = this.#opts
    try {
      const answer = await port.stop(target, { run, fence: fence.token }, orderTimeoutMs)
      this.#log('run.stop', run, { answer: answer.type })
      return answer
    } catch (thrown) {
      this.#log('run.stop-unanswered', run, { reason: toNettlespurError(thrown).message })
      return undefined
    }
  }

  async #tryToStart(placement: Placement): Promise<StartResult> {
    const { port, target, host, lease, clock } = this.#opts
    const job = host.findJob(placement.jobId)
    if (job === undefined) return { type: 'not-sent' }
    const { payload } = job.request
    const checkpoint = job.steps[placement.step]?.tasks[placement.index]?.checkpoint ?? ''
    const fence = this.#opts.fence.token
    let mayHaveArrived = false
    for (let tries = 1; tries <= startTriesMax; tries++) {
      if (host.isEvacuated(placement.upstreamId))
        return { type: mayHaveArrived ? 'in-doubt' : 'evacuated' }
      if (tries > 1 && !this.#isPlaced(placement)) break
      const leaseEndMs = lease.extend(clock.monotonicMs())
      const order = { run: placement, payload, checkpoint, leaseEndMs, fence }
      try {
        const answer = await port.start(target, order, orderTimeoutMs)
        return mayHaveArrived && answer.type === 'refused' ? { type: 'in-doubt' } : answer
      } catch (thrown) {
        const error = toNettlespurError(thrown)
        if (error.kind !== 'unreachable') {
          mayHaveArrived = true
          this.#opts.answers.startUnansweredAtMs = clock.monotonicMs()
        }
        this.#log('run.start-unanswered', placement, { tries, reason: error.message })
      }
    }
    return { type: mayHaveArrived ? 'in-doubt' : 'not-sent' }
  }

  #isPlaced(placement: Placement): boolean {
    const { host, target } = this.#opts
    return host.listPlacements(target.upstreamId).has(runKey(placement))
  }

  #log(
    event: string,
    run: RunRef,
    fields: Readonly<Record<string, string | number | undefined>>,
  ): void {
    const { logger, target } = this.#opts
    logger.info({ event, ...runFields(run), upstreamId: target.upstreamId, ...fields })
  }
}
