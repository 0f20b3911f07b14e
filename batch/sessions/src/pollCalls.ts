/** Polls one upstream: sends the calls, and keeps whether they are answered. */
import type { Placement } from '@nettlespur/batch.state'
import type { Clock } from '@nettlespur/core.clock'
import { toNettlespurError } from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'
import type { CallAnswers } from './callAnswers.js'
import type { LeaseTracker } from './leaseTracker.js'
import { planPoll } from './planPoll.js'
import type { RunTracks } from './runTracks.js'
import type { SessionFence } from './sessionFence.js'
import { holdTimeoutMarginMs, type SessionTimings } from './sessionOptions.js'
import type { HoldAnswer, UpstreamPort, UpstreamTarget } from './upstreamPort.js'

export interface PollCallsOptions {
  target: UpstreamTarget
  port: UpstreamPort
  fence: SessionFence
  lease: LeaseTracker
  answers: CallAnswers
  tracks: RunTracks
  clock: Clock
  logger: Logger
  timings: SessionTimings
  /** The runs placed on the upstream, by run key. */
  listPlacements: () => ReadonlyMap<string, Placement>
  /** Whether runs may be there, or may yet start there, so that the upstream is polled all the time. */
  isWatched: () => boolean
}

/** An answer, and what the poll was like. */
export interface AnsweredPoll {
  readonly answer: HoldAnswer
  /** On the leader's clock. */
  readonly sentAtMs: number
  readonly cursor: number
}

export class PollCalls {
  readonly #opts: PollCallsOptions

  constructor(opts: PollCallsOptions) {
    this.#opts = opts
  }

  /** Resolves to undefined if no answer came. */
  async poll(cursor: number): Promise<AnsweredPoll | undefined> {
    const { port, target, fence, lease, answers, tracks, clock, timings } = this.#opts
    const sentAtMs = clock.monotonicMs()
    tracks.keepOnly(this.#opts.listPlacements())
    const { holdWaitMs } = timings
    const isWatched = this.#opts.isWatched()
    const terms = planPoll({ lease, answers, tracks, isWatched, holdWaitMs, nowMs: sentAtMs })
    const order = { ...terms, fence: fence.token, cursor }
    try {
      const answer = await port.hold(target, order, order.waitMs + holdTimeoutMarginMs)
      answers.noteAnswered(clock.monotonicMs())
      lease.clock.noteAnswer(answer.clockMs, clock.monotonicMs())
      return { answer, sentAtMs, cursor }
    } catch (thrown) {
      answers.noteUnanswered(clock.monotonicMs())
      this.#logSilent(toNettlespurError(thrown).message)
      return undefined
    }
  }

  #logSilent(reason: string): void {
    const { logger, target, answers } = this.#opts
    const { upstreamId } = target
    const { unanswered } = answers
    logger.info({ event: 'upstream.silent', upstreamId, unanswered, reason })
  }
}
